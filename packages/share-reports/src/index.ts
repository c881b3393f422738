export {type RingNode} from './exchange_ring.js';
export {
  type OutgoingReport,
  type ReportMessage,
  reportMessageSchema,
} from './messages.js';
export {type StewardTerm} from './own_engines.js';
export {FullStateRequests} from './full_state_requests.js';
export {
  type ClockReading,
  ReportSharing,
  type ReportSharingOptions,
} from './report_sharing.js';
export {type BackendServerClaim} from './backend_server_table.js';
