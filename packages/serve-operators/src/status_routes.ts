/** Routes for the node status, slots and in-force checks. */
import {type Slot} from '@mimosatack/agreed-state';
import {type Operator} from '@mimosatack/authenticate';
import {TypedError} from '@mimosatack/errors';
import {DOCUMENT_KINDS} from '@mimosatack/records';
import {type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {authorize} from './access.js';
import {type FoldWaiter} from './fold_waiter.js';
import {type SequenceOffsets, waitUntilInForce} from './in_force.js';
import {type OperatorContext} from './operator_context.js';
import {paginate} from './paging.js';
import {toReplicaView} from './replica_view.js';
import {pageSchema, parseInput, waitMsSchema} from './request_input.js';
import {StateDigest} from './state_digest.js';

const slotsSchema = pageSchema.extend({
  event: z.string().max(128).optional(),
  model: z.string().max(128).optional(),
  backendServer: z.string().max(128).optional(),
});

const inForceSchema = z
  .strictObject({
    sequence: z.coerce.number().int().min(1).optional(),
    offset: z.coerce.number().int().min(0).optional(),
    waitMs: waitMsSchema,
  })
  .refine(
    ({sequence, offset}) => (sequence === undefined) !== (offset === undefined),
    {
      error: 'give either sequence or offset',
    },
  );

export function addStatusRoutes(
  server: FastifyInstance,
  context: OperatorContext,
  waiter: FoldWaiter,
  offsets: SequenceOffsets,
): void {
  const digest = new StateDigest();
  server.get('/admin/v1/status', incoming => {
    authorize(incoming, context, 'read-status');
    return {...describeStatus(context), digest: digest.of(context.state())};
  });
  server.get('/admin/v1/slots', incoming => {
    const operator = authorize(incoming, context, 'read-status');
    const {event, model, backendServer, ...page} = parseInput(
      slotsSchema,
      incoming.query,
    );
    const slots = context
      .state()
      .placement.list()
      .filter(slot => canReadSlot(operator, slot, context))
      .filter(slot => event === undefined || eventOf(slot) === event)
      .filter(slot => model === undefined || slot.model === model)
      .filter(
        slot =>
          backendServer === undefined || slot.backendServerId === backendServer,
      )
      .map(slot => toReplicaView(slot, context.board));
    return paginate(slots, slot => slot.slotId, page);
  });
  server.get('/admin/v1/in-force', async incoming => {
    authorize(incoming, context, 'read-status');
    const query = parseInput(inForceSchema, incoming.query);
    const {offset, sequence, waitMs} = query;
    const found =
      offset ??
      (await findOffset(sequence ?? 0, waitMs, context, waiter, offsets));
    const view = await waitUntilInForce(found, waitMs, context);
    return {sequence: sequence ?? null, ...view};
  });
}

function describeStatus(context: OperatorContext) {
  const state = context.state();
  const {configuration, placement, stewardship} = state;
  return {
    nodeName: context.nodeName,
    release: context.release,
    ...context.follower.status,
    rulesVersion: state.rulesVersion,
    documents: Object.fromEntries(
      DOCUMENT_KINDS.map(kind => [kind, configuration.list(kind).length]),
    ),
    slots: placement.list().length,
    backendServers: stewardship.listBackendServers().length,
    liveNodes: context.listNodes().filter(node => node.status === 'alive')
      .length,
    auditPending: context.audit.pendingCount,
  };
}

/** Waits for a record to be folded, because its offset is unknown before. */
async function findOffset(
  sequence: number,
  waitMs: number,
  context: OperatorContext,
  waiter: FoldWaiter,
  offsets: SequenceOffsets,
): Promise<number> {
  const isFolded = await waiter.waitUntil(
    () => context.state().sequence >= sequence,
    waitMs,
  );
  if (!isFolded) {
    throw new TypedError(
      'not-found',
      `This node has folded ${context.state().sequence} records only.`,
      {remedy: 'Wait with waitMs, or ask another node.'},
    );
  }
  return offsets.find(sequence) ?? context.state().nextOffset - 1;
}

function eventOf(slot: Slot): string | null {
  return slot.purpose.for === 'event' ? slot.purpose.eventId : null;
}

/** Replicas that serve no event belong to no team and are visible to all. */
function canReadSlot(
  operator: Operator,
  slot: Slot,
  context: OperatorContext,
): boolean {
  const eventId = eventOf(slot);
  if (operator.team === null || eventId === null) return true;
  const event = context.state().configuration.findEvent(eventId);
  return event?.team === operator.team;
}
