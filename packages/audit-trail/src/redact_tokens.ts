/** Redacts token hashes in the content of teams. */
import {type Content} from './audit_entry.js';

const REDACTED = '(redacted)';
const CHANGED = '(redacted; changed)';

interface TokenLike {
  name?: unknown;
  tokenHash?: unknown;
}

/**
 * Returns the content with token hashes redacted. A token whose hash differs
 * from the token of the same name in `previous` is marked as changed.
 */
export function redactTokens(
  content: Content,
  previous: Content = null,
): Content {
  if (!Array.isArray(content?.['tokens'])) return content;
  const previousTokens = listTokens(previous);
  const tokens = listTokens(content).map(token => {
    const previousToken = previousTokens.find(
      other => other.name === token.name,
    );
    const isChanged =
      previousToken !== undefined &&
      previousToken.tokenHash !== token.tokenHash;
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
