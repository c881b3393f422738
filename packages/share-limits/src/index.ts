export {
  HostShare,
  type HostShareOptions,
  type HostsView,
} from './host_share.js';
export {
  type LimitChange,
  type NamedLimit,
  type RequestRate,
  type ServerIncarnation,
  ServerLimits,
  type ServerLimitsOptions,
} from './server_limits.js';
export {type BucketLimits, TokenBucket} from './token_bucket.js';
