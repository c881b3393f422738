/** Authorization of operators' requests and visibility of documents. */
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

/** Authenticates the operator; throws unless the role permits `action`. */
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

/** The action that publishing a document of this kind requires. */
export function requiredActionFor(kind: DocumentKind): Action {
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

export function canRead(operator: Operator, document: Document): boolean {
  const team = teamOf(document);
  return operator.team === null || team === null || team === operator.team;
}

/** Redacts token hashes unless the operator is an admin. */
export function redactFor(operator: Operator, document: Document): Document {
  if (operator.team === null || document.kind !== 'team') return document;
  const content = redactTokens(document.content);
  return {...document, content: content as Document['content']};
}

/** Whether the audit entry contains no content of another team. */
export function canReadEntry(operator: Operator, entry: AuditEntry): boolean {
  return (
    operator.team === null || entry.teams.every(team => team === operator.team)
  );
}

/** The same error for a missing document and for one of another team. */
export function makeNotFoundError(
  kind: string,
  id: string,
  nextExpectedVersion = 0,
): TypedError {
  return new TypedError('not-found', `There is no ${kind} ${id}.`, {
    info: {nextExpectedVersion},
  });
}

/** Finds a document that the operator may read; throws `not-found`. */
export function findReadable<K extends DocumentKind>(
  kind: K,
  id: string,
  operator: Operator,
  context: OperatorContext,
): Document<K> {
  const {configuration} = context.state();
  const document = configuration.find(kind, id);
  if (document && canRead(operator, document)) return document;
  throw makeNotFoundError(
    kind,
    id,
    document ? 0 : configuration.currentVersion(kind, id),
  );
}
