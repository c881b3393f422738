/** Bearer tokens of callers; only their hashes are known. */
import {createHash} from 'node:crypto';
import {type AgreedState, type TokenRole} from '@mimosatack/agreed-state';
import {TypedError} from '@mimosatack/errors';

/** Who sent a request. */
export interface Caller {
  team: string;
  tokenName: string;
  role: TokenRole;
}

const BEARER = /^Bearer (.+)$/i;

/** Finds the team of a bearer token; rejects with `unauthorized`. */
export function authenticateCaller(
  authorization: string | undefined,
  state: AgreedState,
): Caller {
  const token = BEARER.exec(authorization ?? '')?.[1];
  if (!token) throw new TypedError('unauthorized', 'No bearer token was sent.');
  const tokenHash = createHash('sha256').update(token).digest('hex');
  const caller = state.configuration
    .list('team')
    .flatMap(team =>
      team.content.tokens.map(known => ({team: team.id, ...known})),
    )
    .find(known => known.tokenHash === tokenHash);
  if (!caller) throw new TypedError('unauthorized', 'The token is not known.');
  return {team: caller.team, tokenName: caller.name, role: caller.role};
}
