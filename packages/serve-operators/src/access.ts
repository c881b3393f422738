/** What an operator may see and change. */
import {type Document} from '@mimosatack/agreed-state';
import {type AuditEntry, redactTokens} from '@mimosatack/audit-trail';
import {
  type Action,
  type Operator,
  authenticateOperator,
  requireAction,
} from '@mimosatack/authenticate';
import {TypedError} from '@mimosatack/errors';
import {type DocumentKind} from '@mimosatack/records';
import {type FastifyRequest} from 'fastify';
import {type OperatorContext} from './operator_context.js';

/** Who asks; rejects whoever may not do `action`. */
export function authorize(
  incoming: FastifyRequest,
  context: OperatorContext,
  action: Action,
): Operator {
  const operator = authenticateOperator(
    incoming.headers.authorization,
    context.state(),
    context.bootstrapTokenHash,
  );
  requireAction(operator.role, action);
  return operator;
}

/** What publishing a document of some kind is called in the table of roles. */
export function publishActionOf(kind: DocumentKind): Action {
  switch (kind) {
    case 'template':
    case 'event':
      return 'publish-events';
    case 'team':
      return 'publish-teams';
    case 'model':
    case 'service':
      return 'publish-shared';
  }
}

/** The team that a document belongs to; null for shared documents. */
export function teamOf(document: Document): string | null {
  if (document.kind === 'team') return document.id;
  return (document.content as {team?: string}).team ?? null;
}

/** Whether the document may be shown to the operator. */
export function maySee(operator: Operator, document: Document): boolean {
  const team = teamOf(document);
  return operator.team === null || team === null || team === operator.team;
}

/** The document as it may be shown: only an admin sees hashes of tokens. */
export function toVisible(operator: Operator, document: Document): Document {
  if (operator.team === null || document.kind !== 'team') return document;
  const content = redactTokens(document.content);
  return {...document, content: content as Document['content']};
}

/** Whether an audit entry shows nothing of another team. */
export function maySeeEntry(operator: Operator, entry: AuditEntry): boolean {
  return (
    operator.team === null || entry.teams.every(team => team === operator.team)
  );
}

/** The answer for what does not exist, and for what another team has. */
export function makeNotFound(
  kind: string,
  id: string,
  nextExpectedVersion = 0,
): TypedError {
  return new TypedError('not-found', `There is no ${kind} ${id}.`, {
    info: {nextExpectedVersion},
  });
}

/** Finds a document that the operator may see, or rejects. */
export function findVisible<K extends DocumentKind>(
  kind: K,
  id: string,
  operator: Operator,
  context: OperatorContext,
): Document<K> {
  const {configuration} = context.state();
  const document = configuration.find(kind, id);
  if (document && maySee(operator, document)) return document;
  throw makeNotFound(
    kind,
    id,
    document ? 0 : configuration.currentVersion(kind, id),
  );
}
