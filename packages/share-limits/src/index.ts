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
export {
  ServerLimiter,
  type ServerLimiterOptions,
  UNLIMITED,
} from './server_limiter.js';
export {LimitExchange} from './limit_exchange.js';
export {
  type LimitReply,
  type LimitReport,
  limitReplySchema,
  limitReportSchema,
} from './limit_messages.js';
