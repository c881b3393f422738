export {
  type CallerContext,
  type CallerLimits,
  type EntryAddress,
} from './caller_context.js';
export {buildCallerServer} from './caller_server.js';
export {type ForwardTarget, type KeyOwners} from './unrepeatable_forward.js';
export {
  type DispatchTerms,
  type StartRun,
  type UnrepeatableAnswer,
  type UnrepeatableRequest,
} from './unrepeatable_request.js';
export {
  UnrepeatableRunner,
  type UnrepeatableRunnerOptions,
} from './unrepeatable_runner.js';
