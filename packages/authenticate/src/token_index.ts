/** Looks up tokens of the agreed configuration by hash. */
import {type Configuration, type TokenRole} from '@mimosatack/agreed-state';
import {KeyIndex} from './key_index.js';

/** A token published by a team. */
export interface TeamToken {
  team: string;
  tokenName: string;
  role: TokenRole;
}

interface CachedIndex {
  changeCount: number;
  index: KeyIndex<TeamToken>;
}

const indexCache = new WeakMap<Configuration, CachedIndex>();

/**
 * Returns the index of a configuration, rebuilt only after a document changed.
 * The cache is keyed by configuration object, so a state adopted from a peer
 * never uses the index of the previous state.
 */
export function getTokenIndex(
  configuration: Configuration,
): KeyIndex<TeamToken> {
  const {changeCount} = configuration;
  const cachedIndex = indexCache.get(configuration);
  if (cachedIndex?.changeCount === changeCount) return cachedIndex.index;
  const index = buildIndex(configuration);
  indexCache.set(configuration, {changeCount, index});
  return index;
}

function buildIndex(configuration: Configuration): KeyIndex<TeamToken> {
  const keys = configuration.list('team').flatMap(({id: team, content}) =>
    content.tokens.map(({name: tokenName, role, tokenHash}) => ({
      keyHash: tokenHash,
      owner: {team, tokenName, role},
    })),
  );
  return new KeyIndex(keys);
}
