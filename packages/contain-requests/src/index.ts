export {decodeContained, encodeContained} from './contained_record.js';
export {
  type CrashReply,
  type CrashReport,
  crashReplySchema,
  crashReportSchema,
} from './crash_messages.js';
export {CrashExchange} from './crash_exchange.js';
export {RequestContainment} from './request_containment.js';
export {type LeaseTerms} from './suspect_leases.js';
export {
  type SuspectAsk,
  type SuspectDecision,
  type SuspectRelease,
  suspectAskSchema,
  suspectDecisionSchema,
  suspectReleaseSchema,
} from './suspect_messages.js';
export {SuspectRuns, type SuspectRunsOptions} from './suspect_runs.js';
