export {
  type ClaimCounters,
  ClaimKeys,
  type ClaimKeysOptions,
} from './claim_keys.js';
export {type PartitionStatus} from './claim_partition.js';
export {type ClaimRecord as ClaimGrant} from './claim_records.js';
export {type ClaimRequest, type ClaimResult} from './key_status.js';
export {type TimestampedKey, parseTimestampedKey} from './timestamped_key.js';
export {type ClaimOptions, DEFAULT_CLAIM_OPTIONS} from './options.js';
