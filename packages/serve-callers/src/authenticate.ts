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

type CallersByHash = ReadonlyMap<string, Caller>;

const BEARER = /^Bearer (.+)$/i;

/** The tokens of each state, with the sequence number they were read at. */
const indexes = new WeakMap<
  AgreedState,
  {sequence: number; callers: CallersByHash}
>();

/** Finds the team of a bearer token; rejects with `unauthorized`. */
export function authenticateCaller(
  authorization: string | undefined,
  state: AgreedState,
): Caller {
  const token = BEARER.exec(authorization ?? '')?.[1];
  if (!token) {
    throw new TypedError('unauthorized', 'No bearer token was sent.', {
      run: 'not-run',
    });
  }
  const tokenHash = createHash('sha256').update(token).digest('hex');
  const caller = findCallers(state).get(tokenHash);
  if (caller) return caller;
  throw new TypedError('unauthorized', 'The token is not known.', {
    run: 'not-run',
  });
}

function findCallers(state: AgreedState): CallersByHash {
  const known = indexes.get(state);
  if (known?.sequence === state.sequence) return known.callers;
  const callers = indexCallers(state);
  indexes.set(state, {sequence: state.sequence, callers});
  return callers;
}

function indexCallers(state: AgreedState): CallersByHash {
  return new Map(
    state.configuration
      .list('team')
      .flatMap(team =>
        team.content.tokens.map(({tokenHash, name, role}): [string, Caller] => [
          tokenHash,
          {team: team.id, tokenName: name, role},
        ]),
      ),
  );
}
