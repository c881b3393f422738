/** Outcomes of applying log records. */

/** Why a record is void. A void record changes nothing on any node. */
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

export type RecordOutcome =
  {status: 'valid'} | {status: 'void'; reason: VoidReason; message: string};

export const VALID: RecordOutcome = {status: 'valid'};

export function makeVoid(reason: VoidReason, message: string): RecordOutcome {
  return {status: 'void', reason, message};
}
