/** Routes that create events and report the status of their replicas. */
import {type ResolvedEvent} from '@mimosatack/agreed-state';
import {type Operator} from '@mimosatack/authenticate';
import {TypedError} from '@mimosatack/errors';
import {type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {authorize, findReadable, makeNotFoundError, canRead} from './access.js';
import {type DocumentParams} from './document_routes.js';
import {describeEvent} from './event_status.js';
import {type OperatorContext} from './operator_context.js';
import {paginate} from './paging.js';
import {type Publisher} from './publish_routes.js';
import {toReplicaView} from './replica_view.js';
import {
  contentSchema,
  idSchema,
  pageSchema,
  parseId,
  parseInput,
  reasonSchema,
  waitMsSchema,
} from './request_input.js';

const HTTP_CREATED = 201;

const createSchema = z.strictObject({
  id: idSchema,
  /** Defaults to the operator's team, then to the template's team. */
  team: idSchema.optional(),
  template: idSchema,
  templateVersion: z.number().int().min(1).optional(),
  parameters: contentSchema.default({}),
  reason: reasonSchema,
});

const waitSchema = z.strictObject({waitMs: waitMsSchema});

/** Adds the routes specific to events. */
export function addEventRoutes(
  server: FastifyInstance,
  context: OperatorContext,
  publisher: Publisher,
): void {
  server.post('/admin/v1/events', async (incoming, reply) => {
    const operator = authorize(incoming, context, 'publish-events');
    const input = parseInput(createSchema, incoming.body);
    const {waitMs} = parseInput(waitSchema, incoming.query);
    void reply.code(HTTP_CREATED);
    return createEvent(input, waitMs, operator, context, publisher);
  });
  server.get<{Params: DocumentParams}>(
    '/admin/v1/events/:id/status',
    incoming => {
      const operator = authorize(incoming, context, 'read-documents');
      const id = parseId(incoming.params.id);
      findReadable('event', id, operator, context);
      const event = context.state().configuration.findEvent(id);
      if (!event) throw makeNotFoundError('event', id);
      return readStatus(event, context);
    },
  );
  server.get('/admin/v1/resolved-events', incoming => {
    const operator = authorize(incoming, context, 'read-documents');
    const events = context
      .state()
      .configuration.listEvents()
      .filter(event => operator.team === null || event.team === operator.team);
    const page = parseInput(pageSchema, incoming.query);
    return paginate(events, event => event.eventId, page);
  });
}

async function createEvent(
  input: z.infer<typeof createSchema>,
  waitMs: number,
  operator: Operator,
  context: OperatorContext,
  publisher: Publisher,
) {
  const {id, reason, ...content} = input;
  const {configuration} = context.state();
  const existing = configuration.find('event', id);
  if (existing) {
    throw canRead(operator, existing)
      ? makeIdConflictError(id)
      : makeNotFoundError('event', id);
  }
  const team =
    input.team ??
    operator.team ??
    configuration.find('template', input.template)?.content.team;
  if (team === undefined) throw makeNotFoundError('template', input.template);
  return publisher.publish(
    {
      type: 'put-document',
      kind: 'event',
      id,
      expectedVersion: configuration.currentVersion('event', id),
      content: {...content, team},
    },
    operator,
    reason,
    waitMs,
  );
}

function makeIdConflictError(id: string): TypedError {
  return new TypedError('conflict', `The id ${id} is not free.`, {
    remedy: 'Choose another id, or change your event under this id.',
    info: {reason: 'version-conflict'},
  });
}

function readStatus(event: ResolvedEvent, context: OperatorContext) {
  const replicas = context
    .state()
    .placement.listForPurpose({for: 'event', eventId: event.eventId})
    .map(slot => toReplicaView(slot, context.board));
  return describeEvent(event, replicas, context.clock.wallMs());
}
