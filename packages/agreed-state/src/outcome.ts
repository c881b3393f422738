/** What the fold makes of one record. */

/** Why a record is void; void records change nothing, on any node. */
export type VoidReason =
  | 'duplicate'
  | 'stale-basis'
  | 'unreadable'
  | 'version-conflict'
  | 'invalid-content'
  | 'unknown-reference'
  | 'in-use'
  | 'memory-exceeded'
  | 'too-many-replicas'
  | 'stale-plan'
  | 'stale-epoch'
  | 'in-doubt';

/** The verdict of the rules on one record. */
export type Outcome =
  {status: 'valid'} | {status: 'void'; reason: VoidReason; message: string};

/** The verdict on a record that took effect. */
export const VALID: Outcome = {status: 'valid'};

/** Builds the verdict on a record that breaks a rule. */
export function makeVoid(reason: VoidReason, message: string): Outcome {
  return {status: 'void', reason, message};
}
