export {
  type QuotaBounds,
  findBucketLimits,
  findTolerance,
} from './quota_bounds.js';
export {type QuotaCharge, type QuotaRefusal} from './quota_charge.js';
export {
  type QuotaReply,
  type QuotaReport,
  quotaReplySchema,
  quotaReportSchema,
} from './quota_messages.js';
export {
  type TeamLevel,
  TeamQuotas,
  type TeamQuotasOptions,
} from './team_quotas.js';
