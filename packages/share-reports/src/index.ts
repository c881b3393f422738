export {type RingNode} from './exchange_ring.js';
export {
  type OutgoingReport,
  type ReportMessage,
  reportMessageSchema,
} from './messages.js';
export {type StewardTerm} from './own_engines.js';
export {PullPlan} from './pull_plan.js';
export {
  type Now,
  ReportSharing,
  type ReportSharingOptions,
} from './report_sharing.js';
export {type RunnerRow} from './backend_server_table.js';
