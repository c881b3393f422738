/** Documents: list, read, publish and delete. */
import {type Document} from '@mimosatack/agreed-state';
import {TypedError} from '@mimosatack/errors';
import {makeVoidError} from '@mimosatack/follow-log';
import {
  DOCUMENT_KINDS,
  type DocumentKind,
  type RecordBody,
} from '@mimosatack/records';
import {type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {type Operator, authenticateOperator} from './operator_auth.js';
import {type OperatorContext} from './operator_context.js';

const putSchema = z.strictObject({
  /** 0 to create; the version that the change was made against. */
  expectedVersion: z.number().int().min(0),
  content: z.record(z.string(), z.unknown()),
  reason: z.string().max(1024).optional(),
});

const deleteSchema = z.strictObject({
  expectedVersion: z.coerce.number().int().min(0),
  reason: z.string().max(1024).optional(),
});

interface DocumentParams {
  id: string;
}

/** Adds `/admin/v1/{kind}s` for each kind of document. */
export function addDocumentRoutes(
  server: FastifyInstance,
  context: OperatorContext,
): void {
  DOCUMENT_KINDS.forEach(kind => addKind(server, kind, context));
}

function addKind(
  server: FastifyInstance,
  kind: DocumentKind,
  context: OperatorContext,
): void {
  const base = `/admin/v1/${kind}s`;
  server.get(base, incoming => {
    const operator = authenticateOperator(
      incoming.headers.authorization,
      context,
    );
    const items = context
      .state()
      .configuration.list(kind)
      .filter(document => mayTouch(operator, document));
    return {items};
  });
  server.get<{Params: DocumentParams}>(`${base}/:id`, incoming => {
    const operator = authenticateOperator(
      incoming.headers.authorization,
      context,
    );
    const document = context
      .state()
      .configuration.find(kind, incoming.params.id);
    if (document && mayTouch(operator, document)) return document;
    throw new TypedError(
      'not-found',
      `There is no ${kind} ${incoming.params.id}.`,
    );
  });
  server.put<{Params: DocumentParams}>(`${base}/:id`, incoming => {
    const operator = authenticateOperator(
      incoming.headers.authorization,
      context,
    );
    const {content, expectedVersion, reason} = parse(putSchema, incoming.body);
    checkTeam(operator, kind, content);
    return submitChange(
      {
        type: 'put-document',
        kind,
        id: incoming.params.id,
        expectedVersion,
        content,
      },
      operator,
      reason,
      context,
    );
  });
  server.delete<{Params: DocumentParams}>(`${base}/:id`, incoming => {
    const operator = authenticateOperator(
      incoming.headers.authorization,
      context,
    );
    const {expectedVersion, reason} = parse(deleteSchema, incoming.query);
    return submitChange(
      {
        type: 'delete-document',
        kind,
        id: incoming.params.id,
        expectedVersion,
      },
      operator,
      reason,
      context,
    );
  });
}

async function submitChange(
  body: Extract<RecordBody, {type: 'put-document' | 'delete-document'}>,
  operator: Operator,
  reason: string | undefined,
  context: OperatorContext,
) {
  const folded = await context.follower.submit(body, {
    operator: operator.operatorName,
    reason,
    timeoutMs: context.submitTimeoutMs,
  });
  const error = makeVoidError(folded.outcome);
  if (error) throw error;
  return {
    kind: body.kind,
    id: body.id,
    version: body.expectedVersion + 1,
    offset: folded.offset,
    sequence: folded.sequence,
  };
}

/** Documents that belong to a team are for its own operators only. */
function checkTeam(
  operator: Operator,
  kind: DocumentKind,
  content: Record<string, unknown>,
): void {
  if (operator.team === null) return;
  const isOwn =
    (kind === 'template' || kind === 'event') &&
    content['team'] === operator.team;
  if (isOwn) return;
  throw new TypedError(
    'forbidden',
    `An operator of team ${operator.team} may not publish this ${kind}.`,
  );
}

function mayTouch(operator: Operator, document: Document): boolean {
  if (operator.team === null) return true;
  const team = (document.content as {team?: string}).team;
  return document.kind === 'team'
    ? document.id === operator.team
    : team === undefined || team === operator.team;
}

function parse<T>(schema: z.ZodType<T>, value: unknown): T {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const message = parsed.error.issues
    .map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
  throw new TypedError('bad-request', message);
}
