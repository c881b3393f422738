/** Renders the catalogue of error kinds as a page for operators. */
import {ERROR_KINDS, type ErrorKind, findErrorKindInfo} from './kinds.js';

const INTRODUCTION = `# What does a refusal mean, and what do I do about it?

Every refusal, of callers and of operators, is JSON with the same fields:

- \`kind\`: one of the kinds below; programs decide by it
- \`message\`: what was wrong, for people
- \`remedy\`: what to do about it
- \`run\`: for requests of callers, what became of the work: \`not-run\` means it
  was never handed to a backend server, \`ran\` that it was carried out, and
  \`unknown\` that nobody can tell, so look before you send it again
- \`retryAfterMs\`: when the same request is worth sending again; the header
  \`Retry-After\` tells the same in seconds
- \`info\`: plain values that help, such as \`currentVersion\` of a conflict

The header \`x-request-id\` of the answer names the request in the node's log.

This page is written by \`npm run docs:refusals\`; change
\`packages/errors/src/kinds.ts\` instead.`;

/** The text of docs/operators/refusals.md. */
export function formatKindsAsMarkdown(): string {
  return [INTRODUCTION, ...ERROR_KINDS.map(formatKind)].join('\n\n') + '\n';
}

function formatKind(kind: ErrorKind): string {
  const {httpStatus, retryable, remedy} = findErrorKindInfo(kind);
  const retryHint = retryable
    ? 'the same request may succeed later'
    : 'the same request fails again';
  return `## ${kind}\n\nHTTP status ${httpStatus}; ${retryHint}. ${remedy}`;
}
