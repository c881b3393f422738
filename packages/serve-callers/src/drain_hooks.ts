/** Refuses new requests while the node starts or shuts down. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
  CallerConnections,
  type DrainGate,
  type WorkHandle,
} from '@mimosatack/drain-node';
import {type RunOutcome, TypedError} from '@mimosatack/errors';
import {type FastifyInstance} from 'fastify';
import {type CallerContext} from './caller_context.js';
import {findRunBeforeKeyLookup} from './unrepeatable_calls.js';

declare module 'fastify' {
  interface FastifyRequest {
    /** The in-flight entry that graceful shutdown waits for. */
    workInFlight: WorkHandle | null;
  }
}

/** Tells callers of a leaving node to fetch `/v1/entries` again. */
const ENTRY_STATE_HEADER = 'x-entry-state';
const START_RETRY_MS = 1_000;
/** Paths that start no work and are served in every state. */
const ALWAYS_ANSWERED_PATHS =
  /^\/(healthz|readyz|v1\/entries|v1\/requests\/[^/]+\/cancel)([?]|$)/;

export function addDrainHooks(
  server: FastifyInstance,
  context: CallerContext,
): void {
  const {drainGate} = context;
  const connections = new CallerConnections(server.server);
  server.decorateRequest('workInFlight', null);
  server.addHook('onRequest', async (incoming, reply) => {
    // The connection ends before a response to this request could be sent.
    if (!connections.add(incoming.raw, reply.raw)) return reply.hijack();
    tellLastResponse(drainGate, connections, incoming.raw, reply.raw);
    if (isLeaving(drainGate)) void reply.header(ENTRY_STATE_HEADER, 'leaving');
    if (ALWAYS_ANSWERED_PATHS.test(incoming.url)) return;
    refuseByState(context, findRunBeforeKeyLookup(incoming.headers));
    const route = incoming.routeOptions.url ?? 'unknown route';
    const work = drainGate.inFlight.begin(`${incoming.method} ${route}`);
    incoming.workInFlight = work;
    // Unlike fastify's `onResponse`, this also fires for disconnected callers
    // and hijacked replies.
    reply.raw.once('close', () => work.end());
  });
  server.get('/readyz', async (_incoming, reply) => {
    const isReady = drainGate.state === 'serving';
    return reply.code(isReady ? 200 : 503).send({status: drainGate.state});
  });
}

function isLeaving({state}: DrainGate): boolean {
  return state === 'leaving' || state === 'refusing';
}

/**
 * Makes the caller of a leaving node send its next request to another one. Decides when the
 * head is sent, as further requests of the connection may have been read by then.
 */
function tellLastResponse(
  gate: DrainGate,
  connections: CallerConnections,
  incoming: IncomingMessage,
  response: ServerResponse,
): void {
  const writeHead = response.writeHead.bind(response) as (
    ...parameters: unknown[]
  ) => ServerResponse;
  response.writeHead = (...parameters: unknown[]) => {
    if (isLeaving(gate) && connections.isNewest(incoming, response)) {
      connections.endAfter(incoming, response);
      // Node's HTTP server then sends `Connection: close`.
      response.shouldKeepAlive = false;
    }
    return writeHead(...parameters);
  };
}

function refuseByState(context: CallerContext, run: RunOutcome): void {
  switch (context.drainGate.state) {
    case 'starting':
      // The node has not loaded the teams and would answer `unauthorized`.
      throw new TypedError('overloaded', 'The node is starting.', {
        run,
        remedy: 'Ask /v1/entries of another node, or wait for Retry-After.',
        retryAfterMs: START_RETRY_MS,
      });
    case 'refusing':
      throw new TypedError('shutting-down', 'The node is shutting down.', {
        run,
        info: {entries: context.listEntries()},
      });
    default:
      return;
  }
}
