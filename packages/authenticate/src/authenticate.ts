/** Authenticates callers and operators by bearer token. */
import {type AgreedState, type TokenRole} from '@mimosatack/agreed-state';
import {TypedError} from '@mimosatack/errors';
import {hasPermission, requireAction} from './permissions.js';
import {hashToken, isSameHash} from './key_index.js';
import {getTokenIndex} from './token_index.js';

/** An authenticated caller. */
export interface Caller {
  team: string;
  tokenName: string;
  role: TokenRole;
}

/** An authenticated operator. */
export interface Operator {
  /** The name used in records and in the audit trail. */
  operatorName: string;
  role: TokenRole;
  /** The only team that the operator acts for; null for all teams. */
  team: string | null;
}

const BEARER = /^Bearer +(\S+) *$/i;

/** Authenticates a caller; throws `unauthorized` or `forbidden`. */
export function authenticateCaller(
  authorization: string | undefined,
  state: AgreedState,
): Caller {
  const {team, tokenName, role} = findToken(readHash(authorization), state);
  requireAction(role, 'send-requests');
  return {team, tokenName, role};
}

/**
 * Authenticates an operator; throws `unauthorized`, or `forbidden` for a
 * caller's token.
 *
 * @param bootstrapTokenHash the hash of the token that is valid before any team
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
    team: hasPermission(role, 'act-for-all-teams') ? null : team,
  };
}

function readHash(authorization: string | undefined): string {
  const token = BEARER.exec(authorization ?? '')?.[1];
  if (!token) throw new TypedError('unauthorized', 'No bearer token was sent.');
  return hashToken(token);
}

function findToken(tokenHash: string, state: AgreedState) {
  const found = getTokenIndex(state.configuration).find(tokenHash);
  if (!found) throw new TypedError('unauthorized', 'The token is not known.');
  return found;
}
