/** Routes for nodes and backend servers. */
import {type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {authorize} from './access.js';
import {type DocumentParams} from './document_routes.js';
import {waitUntilInForce} from './in_force.js';
import {type OperatorContext} from './operator_context.js';
import {paginate} from './paging.js';
import {
  pageSchema,
  parseInput,
  reasonSchema,
  waitMsSchema,
} from './request_input.js';
import {submitChange} from './submit_change.js';

const drainSchema = z.strictObject({
  /** False to resume sending new work to the backend server. */
  isDraining: z.boolean().default(true),
  reason: reasonSchema,
});

const waitSchema = z.strictObject({waitMs: waitMsSchema});
/** Ids from the platform's host list allow more characters than `idSchema`. */
const serverIdSchema = z.object({
  id: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}$/),
});

/** Adds the routes for nodes and backend servers. */
export function addHostRoutes(
  server: FastifyInstance,
  context: OperatorContext,
): void {
  server.get('/admin/v1/nodes', incoming => {
    authorize(incoming, context, 'read-status');
    const page = parseInput(pageSchema, incoming.query);
    return paginate(context.listNodes(), node => node.nodeName, page);
  });
  server.get('/admin/v1/backend-servers', incoming => {
    authorize(incoming, context, 'read-status');
    const page = parseInput(pageSchema, incoming.query);
    return paginate(
      listServers(context),
      backendServer => backendServer.backendServerId,
      page,
    );
  });
  server.post<{Params: DocumentParams}>(
    '/admin/v1/backend-servers/:id/drain',
    async incoming => {
      const operator = authorize(incoming, context, 'drain-backend-servers');
      const {id} = parseInput(serverIdSchema, incoming.params);
      const change = parseInput(drainSchema, incoming.body ?? {});
      const {waitMs} = parseInput(waitSchema, incoming.query);
      const {isDraining, reason} = change;
      const accepted = await submitChange(
        {
          body: {type: 'drain-backend-server', backendServerId: id, isDraining},
          operator,
          reason,
          subject: `backend server ${id}`,
        },
        context,
      );
      const inForce =
        waitMs > 0
          ? await waitUntilInForce(accepted.offset, waitMs, context)
          : null;
      return {
        backendServerId: id,
        isDraining,
        ...accepted,
        ...(inForce ? {inForce} : {}),
      };
    },
  );
}

function listServers(context: OperatorContext) {
  const {stewardship, placement} = context.state();
  return stewardship.listBackendServers().map(server => {
    const id = server.backendServerId;
    const report = context.board.find(id);
    return {
      ...server,
      claim: stewardship.findClaim(id) ?? null,
      doubts: stewardship.listInDoubtClaims(id),
      isDraining: stewardship.isDraining(id),
      isReachable: report?.isReachable ?? null,
      load: report?.load ?? null,
      decidedReplicas: placement.listOnBackendServer(id).length,
    };
  });
}
