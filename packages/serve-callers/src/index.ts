export {
  type CallerContext,
  type CallerLimits,
  type EntryAddress,
} from './caller_context.js';
export {buildCallerServer} from './caller_server.js';
export {
  type DispatchTerms,
  type UnrepeatableAnswer,
  type UnrepeatableRequest,
  UnrepeatableRunner,
  type UnrepeatableRunnerOptions,
} from './unrepeatable_runner.js';
export {
  type ForwardTarget,
  type KeyOwners,
  forwardToNode,
} from './unrepeatable_forward.js';
