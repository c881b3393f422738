/** What the system decided and sees: status, slots, backend servers, nodes. */
import {type Slot} from '@mimosatack/agreed-state';
import {formatAdapterSlotId} from '@mimosatack/steward-orders';
import {type ReplicaStatus} from '@mimosatack/types';
import {type FastifyInstance, type FastifyRequest} from 'fastify';
import {authenticateOperator} from './operator_auth.js';
import {type OperatorContext} from './operator_context.js';

/** Adds the read-only routes of the operators' interface. */
export function addStatusRoutes(
  server: FastifyInstance,
  context: OperatorContext,
): void {
  const routes: ReadRoute[] = [
    {path: '/admin/v1/status', describe: describeStatus},
    {path: '/admin/v1/slots', describe: describeSlots},
    {path: '/admin/v1/backend-servers', describe: describeServers},
    {path: '/admin/v1/nodes', describe: describeNodes},
    {path: '/admin/v1/resolved-events', describe: describeEvents},
  ];
  routes.forEach(({path, describe}) => {
    server.get(path, (incoming: FastifyRequest) => {
      authenticateOperator(incoming.headers.authorization, context);
      return describe(context);
    });
  });
}

interface ReadRoute {
  path: string;
  describe: (context: OperatorContext) => unknown;
}

function describeNodes(context: OperatorContext) {
  return {items: context.listNodes()};
}

function describeEvents(context: OperatorContext) {
  return {items: context.state().configuration.listEvents()};
}

function describeStatus(context: OperatorContext) {
  const state = context.state();
  return {
    nodeName: context.nodeName,
    ...context.follower.status,
    rulesVersion: state.rulesVersion,
    digest: state.digest(),
  };
}

function describeSlots(context: OperatorContext) {
  const items = context
    .state()
    .placement.list()
    .map(slot => ({
      ...slot,
      replicaStatus: readReplicaStatus(slot, context),
    }));
  return {items};
}

/** A replica is as far as the least advanced of its base and adapters. */
function readReplicaStatus(
  slot: Slot,
  context: OperatorContext,
): ReplicaStatus | 'absent' {
  const replicas =
    context.board.find(slot.backendServerId)?.engine?.replicas ?? [];
  const parts = [
    slot.slotId,
    ...slot.adapters.map(adapter => formatAdapterSlotId(slot.slotId, adapter)),
  ].map(id => replicas.find(replica => replica.slotId === id)?.status);
  if (parts[0] === undefined) return 'absent';
  return (
    parts.find(status => status !== 'warm') ??
    (parts.includes(undefined) ? 'loading' : 'warm')
  );
}

function describeServers(context: OperatorContext) {
  const {stewardship} = context.state();
  const items = stewardship.listBackendServers().map(server => ({
    ...server,
    claim: stewardship.findClaim(server.backendServerId) ?? null,
    doubts: stewardship.listDoubts(server.backendServerId),
    isReachable: context.board.find(server.backendServerId)?.isReachable,
  }));
  return {items};
}
