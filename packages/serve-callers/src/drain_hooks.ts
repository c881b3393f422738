/** Refuses new requests while the node starts or shuts down. */
import {type WorkHandle} from '@mimosatack/drain-node';
import {type RunOutcome, TypedError} from '@mimosatack/errors';
import {type FastifyInstance, type FastifyReply} from 'fastify';
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
  server.decorateRequest('workInFlight', null);
  server.addHook('onRequest', async (incoming, reply) => {
    if (drainGate.state === 'leaving' || drainGate.state === 'refusing') {
      setLeavingHeaders(reply);
    }
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

/** Makes the caller send its next request to another node. */
function setLeavingHeaders(reply: FastifyReply): void {
  void reply
    .header('connection', 'close')
    .header(ENTRY_STATE_HEADER, 'leaving');
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
