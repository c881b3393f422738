/** Finds a token of the agreed configuration by its hash. */
import {type Configuration, type TokenRole} from '@mimosatack/agreed-state';
import {KeyIndex} from './key_index.js';

/** A token that a team has. */
export interface KnownToken {
  team: string;
  tokenName: string;
  role: TokenRole;
}

interface CachedIndex {
  changeCount: number;
  index: KeyIndex<KnownToken>;
}

const cached = new WeakMap<Configuration, CachedIndex>();

/**
 * The index of a configuration, built again only when a document changed. A
 * state that a node adopts from a peer has another configuration object, so
 * it never finds the index of the old one.
 */
export function indexTokens(
  configuration: Configuration,
): KeyIndex<KnownToken> {
  const {changeCount} = configuration;
  const known = cached.get(configuration);
  if (known?.changeCount === changeCount) return known.index;
  const index = makeIndex(configuration);
  cached.set(configuration, {changeCount, index});
  return index;
}

function makeIndex(configuration: Configuration): KeyIndex<KnownToken> {
  const keys = configuration.list('team').flatMap(({id: team, content}) =>
    content.tokens.map(({name: tokenName, role, tokenHash}) => ({
      keyHash: tokenHash,
      owner: {team, tokenName, role},
    })),
  );
  return new KeyIndex(keys);
}
