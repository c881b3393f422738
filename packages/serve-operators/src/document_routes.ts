/** Routes that list and read documents and their versions. */
import {type Operator} from '@mimosatack/authenticate';
import {DOCUMENT_KINDS, type DocumentKind} from '@mimosatack/records';
import {type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {
  authorize,
  findReadable,
  makeNotFoundError,
  canRead,
  canReadEntry,
  teamOf,
  redactFor,
} from './access.js';
import {type OperatorContext} from './operator_context.js';
import {decodeCursor, encodeCursor, paginate} from './paging.js';
import {pageSchema, parseId, parseInput} from './request_input.js';

const listSchema = pageSchema.extend({team: z.string().max(128).optional()});

export interface DocumentParams {
  id: string;
}

/** Adds the GET routes of `/admin/v1/{kind}s` for each document kind. */
export function addDocumentRoutes(
  server: FastifyInstance,
  context: OperatorContext,
): void {
  DOCUMENT_KINDS.forEach(kind => addRoutesForKind(server, kind, context));
}

function addRoutesForKind(
  server: FastifyInstance,
  kind: DocumentKind,
  context: OperatorContext,
): void {
  const base = `/admin/v1/${kind}s`;
  server.get(base, incoming => {
    const operator = authorize(incoming, context, 'read-documents');
    const {team, ...page} = parseInput(listSchema, incoming.query);
    const documents = context
      .state()
      .configuration.list(kind)
      .filter(document => canRead(operator, document))
      .filter(document => team === undefined || teamOf(document) === team)
      .map(document => redactFor(operator, document));
    return paginate(documents, document => document.id, page);
  });
  server.get<{Params: DocumentParams}>(`${base}/:id`, incoming => {
    const operator = authorize(incoming, context, 'read-documents');
    const id = parseId(incoming.params.id);
    return redactFor(operator, findReadable(kind, id, operator, context));
  });
  server.get<{Params: DocumentParams}>(`${base}/:id/versions`, incoming => {
    const operator = authorize(incoming, context, 'read-audit');
    const id = parseId(incoming.params.id);
    const page = parseInput(pageSchema, incoming.query);
    return listVersions(kind, id, page, operator, context);
  });
}

async function listVersions(
  kind: DocumentKind,
  id: string,
  {limit, cursor}: z.infer<typeof pageSchema>,
  operator: Operator,
  context: OperatorContext,
) {
  const found = await context.audit.find({
    kind,
    id,
    limit,
    beforeSequence:
      cursor === undefined ? undefined : Number(decodeCursor(cursor)),
    isVisible: entry =>
      entry.outcome.status === 'valid' && canReadEntry(operator, entry),
  });
  const document = context.state().configuration.find(kind, id);
  const isKnown = document !== undefined && canRead(operator, document);
  if (found.items.length === 0 && !isKnown) throw makeNotFoundError(kind, id);
  return {
    items: found.items.map(entry => ({
      sequence: entry.sequence,
      writtenAtMs: entry.writtenAtMs,
      operator: entry.operator,
      reason: entry.reason,
      change: entry.change,
      content: entry.after,
    })),
    nextCursor:
      found.nextBeforeSequence === null
        ? null
        : encodeCursor(String(found.nextBeforeSequence)),
    isComplete: found.isComplete,
  };
}
