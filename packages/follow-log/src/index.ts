export {
  type AppendSource,
  type FoldListener,
  type FollowerSources,
  type FollowerStatus,
  LogFollower,
  type LogFollowerOptions,
  type StateSource,
} from './log_follower.js';
export {type SubmitOptions, makeVoidError} from './submission.js';
