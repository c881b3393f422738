/** Builds the admin API requests for the tokens of a team. */
import {type TokenRole} from '@mimosatack/agreed-state';
import {UsageError} from 'clipanion';
import {z} from 'zod';
import {type AdminRequest} from '../admin_client.js';
import {type DocumentResponse} from '../responses.js';
import {planPut} from './document_plans.js';

/** A token to add; only its hash is sent. */
export interface NewToken {
  name: string;
  role: TokenRole;
  tokenHash: string;
}

const teamSchema = z.looseObject({
  tokens: z.array(
    z.looseObject({name: z.string(), role: z.string(), tokenHash: z.string()}),
  ),
});

/** Builds a request that adds a token to a team. */
export function planAddToken(
  team: DocumentResponse,
  token: NewToken,
  reason?: string,
): AdminRequest {
  const content = teamSchema.parse(team.content);
  if (content.tokens.some(known => known.name === token.name)) {
    throw new UsageError(
      `Team ${team.id} has a token ${token.name} already; remove it first, or choose another name.`,
    );
  }
  return planTokens(team, [...content.tokens, token], reason);
}

/** Builds a request that removes a token from a team. */
export function planRemoveToken(
  team: DocumentResponse,
  tokenName: string,
  reason?: string,
): AdminRequest {
  const content = teamSchema.parse(team.content);
  const kept = content.tokens.filter(known => known.name !== tokenName);
  if (kept.length === content.tokens.length) {
    const names = content.tokens.map(known => known.name).join(', ');
    throw new UsageError(
      `Team ${team.id} has no token ${tokenName}; it has ${names || 'none'}.`,
    );
  }
  return planTokens(team, kept, reason);
}

function planTokens(
  team: DocumentResponse,
  tokens: readonly unknown[],
  reason?: string,
): AdminRequest {
  return planPut({
    kind: 'team',
    id: team.id,
    expectedVersion: team.version,
    content: {...team.content, tokens},
    reason,
  });
}
