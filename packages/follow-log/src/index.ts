export {
  type FoldListener,
  type FollowerStatus,
  LogFollower,
  type LogFollowerOptions,
  type LogSource,
} from './log_follower.js';
export {type SubmitOptions, makeVoidError} from './submission.js';
