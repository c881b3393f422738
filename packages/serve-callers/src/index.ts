export {
  type CallerContext,
  type CallerLimits,
  type EntryAddress,
} from './caller_context.js';
export {buildCallerServer} from './caller_server.js';
