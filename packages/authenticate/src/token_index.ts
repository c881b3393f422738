/** Finds a token by its hash without going through all teams. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {type Configuration, type TokenRole} from '@mimosatack/agreed-state';

/** A token that a team has. */
export interface KnownToken {
  team: string;
  tokenName: string;
  role: TokenRole;
  tokenHash: string;
}

/** How many hexadecimal digits choose the bucket. */
const BUCKET_DIGITS = 6;

/** The form in which a token is stored and looked up. */
export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

/** Compares two hashes in a time that does not tell where they differ. */
export function isSameHash(first: string, second: string): boolean {
  return (
    first.length === second.length &&
    timingSafeEqual(Buffer.from(first), Buffer.from(second))
  );
}

/** All tokens of one configuration, by the first digits of their hashes. */
export class TokenIndex {
  private readonly buckets = new Map<string, KnownToken[]>();

  constructor(configuration: Configuration) {
    configuration
      .list('team')
      .forEach(team =>
        team.content.tokens.forEach(({name, role, tokenHash}) =>
          this.add({team: team.id, tokenName: name, role, tokenHash}),
        ),
      );
  }

  find(tokenHash: string): KnownToken | undefined {
    return this.buckets
      .get(toBucket(tokenHash))
      ?.find(known => isSameHash(known.tokenHash, tokenHash));
  }

  private add(token: KnownToken): void {
    const bucket = toBucket(token.tokenHash);
    this.buckets.set(bucket, [...(this.buckets.get(bucket) ?? []), token]);
  }
}

interface CachedIndex {
  changeCount: number;
  index: TokenIndex;
}

const cached = new WeakMap<Configuration, CachedIndex>();

/**
 * The index of a configuration, built again only when a document changed. A
 * state that a node adopts from a peer has another configuration object, so
 * it never finds the index of the old one.
 */
export function indexTokens(configuration: Configuration): TokenIndex {
  const {changeCount} = configuration;
  const known = cached.get(configuration);
  if (known?.changeCount === changeCount) return known.index;
  const index = new TokenIndex(configuration);
  cached.set(configuration, {changeCount, index});
  return index;
}

function toBucket(tokenHash: string): string {
  return tokenHash.slice(0, BUCKET_DIGITS);
}
