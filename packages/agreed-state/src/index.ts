export {
  AgreedState,
  MAX_BASIS_AGE_RECORDS,
  type FoldedRecord,
  SUPPORTED_RULES_VERSION,
} from './agreed_state.js';
export {
  Configuration,
  type ContentByKind,
  type Document,
} from './configuration/configuration.js';
export {
  type EventContent,
  type ModelContent,
  type ServiceContent,
  TOKEN_ROLES,
  type TeamContent,
  type TemplateContent,
  type TokenRole,
} from './configuration/document_schema.js';
export {
  type ResolvedEvent,
  type ResolvedNeed,
  sumReplicaMemoryMib,
} from './configuration/resolve_event.js';
export {type RecordOutcome, type VoidReason} from './outcome.js';
export {type MemoryHold, findPeakMib} from './placement/memory_profile.js';
export {Placement} from './placement/placement.js';
export {
  type SlotEndReason,
  type Slot,
  formatPurpose,
  findHoldStartMs,
  isInServingWindow,
  listSlotHolds,
} from './placement/slot.js';
export {
  type BackendServer,
  type InDoubtClaim,
  type StewardClaim,
  Stewardship,
} from './stewardship/stewardship.js';
