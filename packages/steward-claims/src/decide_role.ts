/**
 * Decides whether this node may send orders to a model engine. Pure function of
 * the agreed claim and of hints; only the claim is authoritative.
 */
import {type StewardClaim} from '@mimosatack/agreed-state';
import {type FencingSupport, type NodeIncarnation} from '@mimosatack/types';

export interface RoleInput {
  self: NodeIncarnation;
  claim: StewardClaim | undefined;
  fencing: FencingSupport;
  /** Position of this node among the candidates; 0 is first. */
  rank: number;
  /** Time for which this node has seen the backend server without a steward. */
  claimableForMs: number;
  /** Additional wait per rank before a claim. */
  rankDelayMs: number;
  isLogReachable: boolean;
  /** Hint: whether membership considers the process dead. */
  isGone(incarnation: NodeIncarnation): boolean;
}

/**
 * `hold`: send orders under the node's own claim. `claim`: write a new claim.
 * `succeed`: send orders under another node's claim, with a higher rank, while
 * the log is unreachable. `wait`: do nothing.
 */
export type StewardRole =
  | {role: 'hold'}
  | {role: 'claim'}
  | {role: 'succeed'; rank: number}
  | {role: 'wait'};

const WAIT: StewardRole = {role: 'wait'};

export function decideRole(input: RoleInput): StewardRole {
  const {claim, self} = input;
  if (claim?.holder === self && !claim.isYielded) return {role: 'hold'};
  if (!isClaimable(claim, input)) return WAIT;
  return input.isLogReachable ? decideClaim(input) : decideSuccession(input);
}

/** Whether no claim is in force or its holder is considered dead. */
export function isClaimable(
  claim: StewardClaim | undefined,
  hints: Pick<RoleInput, 'isGone'>,
): boolean {
  return !claim || claim.isYielded || hints.isGone(claim.holder);
}

/**
 * The first candidate claims at once and each further one waits longer. If two
 * claim, the first claim in the log wins.
 */
function decideClaim(input: RoleInput): StewardRole {
  const isTurn =
    input.rank >= 0 && input.claimableForMs >= input.rank * input.rankDelayMs;
  return isTurn ? {role: 'claim'} : WAIT;
}

/**
 * Without the log no claim can be written, so the successors named in the claim
 * take over. Requires an engine that rejects lower fencing numbers, because only
 * the engine can stop the old holder.
 */
function decideSuccession(input: RoleInput): StewardRole {
  const {claim, self} = input;
  if (!claim || input.fencing !== 'refuses-old') return WAIT;
  const position = claim.successors.indexOf(self);
  const predecessors = claim.successors.slice(0, Math.max(0, position));
  const isTurn =
    position >= 0 && predecessors.every(other => input.isGone(other));
  return isTurn ? {role: 'succeed', rank: position + 1} : WAIT;
}
