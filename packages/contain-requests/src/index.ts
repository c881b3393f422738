export {decodeContained, encodeContained} from './contained_record.js';
export {
  type CrashReply,
  type CrashReport,
  crashReplySchema,
  crashReportSchema,
} from './crash_messages.js';
export {CrashExchange} from './crash_exchange.js';
export {RequestContainment} from './request_containment.js';
