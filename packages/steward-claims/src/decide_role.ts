/**
 * Whether this node may send orders to a model engine. Pure: it looks at the
 * agreed claim and at hints, and only the claim carries a promise.
 */
import {type StewardClaim} from '@mimosatack/agreed-state';
import {type FencingSupport, type NodeIncarnation} from '@mimosatack/types';

/** All that the decision looks at. */
export interface RoleInput {
  self: NodeIncarnation;
  claim: StewardClaim | undefined;
  fencing: FencingSupport;
  /** Place of this node among those that may claim; 0 is first. */
  rank: number;
  /** How long the backend server has had no steward, as this node sees it. */
  freeForMs: number;
  /** How much longer each next node in rank waits. */
  rankDelayMs: number;
  isLogReachable: boolean;
  /** Whether a process is believed to be dead; a hint. */
  isGone(incarnation: NodeIncarnation): boolean;
}

/**
 * `hold`: send orders under the claim. `claim`: write a new claim. `succeed`:
 * send orders under the claim of another, with a higher rank, because the log
 * is down. `wait`: neither.
 */
export type StewardRole =
  | {role: 'hold'}
  | {role: 'claim'}
  | {role: 'succeed'; rank: number}
  | {role: 'wait'};

const WAIT: StewardRole = {role: 'wait'};

/** Decides the role of this node for one engine. */
export function decideRole(input: RoleInput): StewardRole {
  const {claim, self} = input;
  if (claim?.holder === self && !claim.isYielded) return {role: 'hold'};
  if (!isFree(claim, input)) return WAIT;
  return input.isLogReachable ? decideClaim(input) : decideSuccession(input);
}

/** Whether a claim is over, or its holder is believed to be dead. */
export function isFree(
  claim: StewardClaim | undefined,
  hints: Pick<RoleInput, 'isGone'>,
): boolean {
  return !claim || claim.isYielded || hints.isGone(claim.holder);
}

/**
 * The first in rank claims at once. Should it be unable to, each next node
 * waits longer; of two that claim, the first in the log holds.
 */
function decideClaim(input: RoleInput): StewardRole {
  const isTurn =
    input.rank >= 0 && input.freeForMs >= input.rank * input.rankDelayMs;
  return isTurn ? {role: 'claim'} : WAIT;
}

/**
 * With the log down no claim can be made, but the claim in force names
 * successors. The engine itself turns the holder away once it has seen a
 * successor's number, so this needs an engine that refuses old numbers.
 */
function decideSuccession(input: RoleInput): StewardRole {
  const {claim, self} = input;
  if (!claim || input.fencing !== 'refuses-old') return WAIT;
  const place = claim.successors.indexOf(self);
  const before = claim.successors.slice(0, Math.max(0, place));
  const isTurn = place >= 0 && before.every(other => input.isGone(other));
  return isTurn ? {role: 'succeed', rank: place + 1} : WAIT;
}
