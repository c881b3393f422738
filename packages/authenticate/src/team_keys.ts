/** Authenticates teams by API key. */
import {TypedError} from '@mimosatack/errors';
import {type TeamSpec} from '@mimosatack/types';
import {KeyIndex} from './key_index.js';

const REMEDY = 'Send one valid key of your team.';

/** The keys of all teams in a configuration. */
export class TeamKeys {
  private readonly index: KeyIndex<TeamSpec>;

  constructor(teams: readonly TeamSpec[]) {
    this.index = new KeyIndex(
      teams.flatMap(owner =>
        owner.keyHashes.map(keyHash => ({keyHash, owner})),
      ),
    );
  }

  find(keyHash: string): TeamSpec | undefined {
    return this.index.find(keyHash);
  }
}

/**
 * Returns the team of the key, or an `unauthorized` error.
 *
 * @param keyHashes the hashes of all keys in the request; valid requests have
 *     exactly one.
 */
export function authenticateKey(
  keyHashes: readonly string[],
  teamKeys: TeamKeys,
): TeamSpec | TypedError {
  const [keyHash] = keyHashes;
  if (keyHash === undefined) {
    return makeUnauthorizedError('The request carries no key.');
  }
  if (keyHashes.length > 1) {
    return makeUnauthorizedError('The request carries more than one key.');
  }
  return (
    teamKeys.find(keyHash) ?? makeUnauthorizedError('The key is not known.')
  );
}

function makeUnauthorizedError(message: string): TypedError {
  return new TypedError('unauthorized', message, {
    run: 'not-run',
    remedy: REMEDY,
  });
}
