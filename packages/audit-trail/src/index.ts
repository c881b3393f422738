export {AUDIT_KINDS, type AuditEntry, type AuditKind} from './audit_entry.js';
export {
  type AuditPage,
  AuditTrail,
  type AuditTrailOptions,
} from './audit_trail.js';
export {type AuditQuery} from './find_entries.js';
export {redactTokens} from './redact_tokens.js';
