export {
  type CallerContext,
  type CallerLimits,
  type EntryAddress,
} from './caller_context.js';
export {buildCallerServer} from './caller_server.js';
export {type CallerCounts, CallerStats} from './caller_stats.js';
export {ServingSets, type ServingSetsOptions} from './serving_sets.js';
