/** Keeps the hashes of tokens out of the audit trail. */
import {type Content} from './audit_entry.js';

const REDACTED = '(redacted)';
const CHANGED = '(redacted; changed)';

interface TokenLike {
  name?: unknown;
  tokenHash?: unknown;
}

/**
 * The content of a team without its hashes. With `previous`, a token whose
 * hash differs from the one of the same name is marked as changed.
 */
export function redactTokens(
  content: Content,
  previous: Content = null,
): Content {
  if (!Array.isArray(content?.['tokens'])) return content;
  const earlier = listTokens(previous);
  const tokens = listTokens(content).map(token => {
    const same = earlier.find(other => other.name === token.name);
    const isChanged = same !== undefined && same.tokenHash !== token.tokenHash;
    return {...token, tokenHash: isChanged ? CHANGED : REDACTED};
  });
  return {...content, tokens};
}

function listTokens(content: Content): TokenLike[] {
  const tokens: unknown = content?.['tokens'];
  return Array.isArray(tokens)
    ? tokens.filter(
        (token): token is TokenLike =>
          typeof token === 'object' && token !== null,
      )
    : [];
}
