/** Finds out who sent a request, from its bearer token. */
import {type AgreedState, type TokenRole} from '@mimosatack/agreed-state';
import {TypedError} from '@mimosatack/errors';
import {mayDo, requireAction} from './permissions.js';
import {hashToken, isSameHash} from './key_index.js';
import {indexTokens} from './token_index.js';

/** Who sent a caller's request. */
export interface Caller {
  team: string;
  tokenName: string;
  role: TokenRole;
}

/** Who sent an operator's request. */
export interface Operator {
  /** The name that records and the audit trail carry. */
  operatorName: string;
  role: TokenRole;
  /** The only team that the operator acts for; null for all teams. */
  team: string | null;
}

const BEARER = /^Bearer +(\S+) *$/i;

/** Finds the team of a bearer token; rejects with `unauthorized`. */
export function authenticateCaller(
  authorization: string | undefined,
  state: AgreedState,
): Caller {
  const {team, tokenName, role} = findToken(readHash(authorization), state);
  requireAction(role, 'send-requests');
  return {team, tokenName, role};
}

/**
 * Finds the operator of a bearer token. A caller's token is `forbidden`.
 *
 * @param bootstrapTokenHash the hash of the token that works before any team
 *     exists; empty when there is none.
 */
export function authenticateOperator(
  authorization: string | undefined,
  state: AgreedState,
  bootstrapTokenHash: string,
): Operator {
  const tokenHash = readHash(authorization);
  if (isSameHash(tokenHash, bootstrapTokenHash)) {
    return {operatorName: 'bootstrap', role: 'admin', team: null};
  }
  const {team, tokenName, role} = findToken(tokenHash, state);
  requireAction(role, 'read-status');
  return {
    operatorName: `${team}/${tokenName}`,
    role,
    team: mayDo(role, 'act-for-all-teams') ? null : team,
  };
}

function readHash(authorization: string | undefined): string {
  const token = BEARER.exec(authorization ?? '')?.[1];
  if (!token) throw new TypedError('unauthorized', 'No bearer token was sent.');
  return hashToken(token);
}

function findToken(tokenHash: string, state: AgreedState) {
  const known = indexTokens(state.configuration).find(tokenHash);
  if (!known) throw new TypedError('unauthorized', 'The token is not known.');
  return known;
}
