/** Finds out which team sent a request, from the key that it carries. */
import {TypedError} from '@mimosatack/errors';
import {type TeamSpec} from '@mimosatack/types';
import {KeyIndex} from './key_index.js';

const REMEDY = 'Send one valid key of your team.';

/** The keys of all teams in one configuration. */
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
 * The team of the key that a request carries, or `unauthorized`.
 *
 * @param keyHashes of the keys in the request, which should have one.
 */
export function authenticateKey(
  keyHashes: readonly string[],
  teamKeys: TeamKeys,
): TeamSpec | TypedError {
  const [keyHash] = keyHashes;
  if (keyHash === undefined) {
    return makeUnauthorized('The request carries no key.');
  }
  if (keyHashes.length > 1) {
    return makeUnauthorized('The request carries more than one key.');
  }
  return teamKeys.find(keyHash) ?? makeUnauthorized('The key is not known.');
}

function makeUnauthorized(message: string): TypedError {
  return new TypedError('unauthorized', message, {
    run: 'not-run',
    remedy: REMEDY,
  });
}
