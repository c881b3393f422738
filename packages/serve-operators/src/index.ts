export {type AffectedEvent, type DryRun} from './dry_run.js';
export {
  type EventPhase,
  type EventStatus,
  type NeedStatus,
} from './event_status.js';
export {type InForceView, type NodeInForce} from './in_force.js';
export {type NodeView, type OperatorContext} from './operator_context.js';
export {buildOperatorServer} from './operator_server.js';
export {type Page} from './paging.js';
