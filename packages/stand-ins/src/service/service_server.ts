/** The HTTP server of the plain service stand-in. */
import {type Clock, SystemClock} from '@mimosatack/clock';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import {
  type RunningBackend,
  listenAsBackend,
} from '../shared/backend_server.js';
import {
  createHttpServer,
  destroyConnection,
  installControlRoutes,
  installFreezeRoutes,
  installWorkFaultHooks,
  readHeader,
} from '../shared/http_server.js';
import {type ServiceOptions, ServiceStandIn} from './service_core.js';

interface CallRoute {
  Params: {name: string};
}

/** Starts a plain service and registers it in the platform's host list. */
export async function startServiceStandIn(
  options: Partial<ServiceOptions> = {},
  clock: Clock = new SystemClock(),
): Promise<RunningBackend<ServiceStandIn>> {
  const core = new ServiceStandIn(options, clock);
  const server = createHttpServer();
  const isWork = (url: string) => url.startsWith('/calls/');
  installWorkFaultHooks(server, {faults: core.faults, gate: core.gate, isWork});
  server.post<CallRoute>('/calls/:name', async (request, reply) =>
    answerCall(core, request, reply),
  );
  server.get('/v1/load', async () => core.readLoad());
  installControlRoutes(server, core);
  installFreezeRoutes(server, core.gate);
  return listenAsBackend(server, core, 'service');
}

async function answerCall(
  core: ServiceStandIn,
  request: FastifyRequest<CallRoute>,
  reply: FastifyReply,
): Promise<unknown> {
  const call = {
    name: request.params.name,
    requestId: readHeader(request, 'x-request-id'),
    idempotencyKey: readHeader(request, 'idempotency-key'),
    body: Buffer.isBuffer(request.body) ? request.body.toString('utf8') : '',
  };
  const answer = await new Promise<object>(resolve => core.run(call, resolve));
  if (!core.faults.take('resetAfterRun')) return answer;
  destroyConnection(request, reply);
  return reply;
}
