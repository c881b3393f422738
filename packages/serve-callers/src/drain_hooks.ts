/** How the callers' server meets new work while the node starts or stops. */
import {type WorkHandle} from '@mimosatack/drain-node';
import {TypedError} from '@mimosatack/errors';
import {type FastifyInstance, type FastifyReply} from 'fastify';
import {type CallerContext} from './caller_context.js';

declare module 'fastify' {
  interface FastifyRequest {
    /** The request as it is counted among the work in flight. */
    workInFlight: WorkHandle | null;
  }
}

/** Told to callers of a node that leaves: ask `/v1/entries` again. */
const STATE_HEADER = 'x-entry-state';
const START_RETRY_MS = 1_000;
/** Answered in every state: they take no work on. */
const ALWAYS_ANSWERED =
  /^\/(healthz|readyz|v1\/entries|v1\/requests\/[^/]+\/cancel)([?]|$)/;

/** Counts work in flight, and refuses new work when the node has to. */
export function addDrainHooks(
  server: FastifyInstance,
  context: CallerContext,
): void {
  const {gate} = context;
  server.decorateRequest('workInFlight', null);
  server.addHook('onRequest', async (incoming, reply) => {
    if (gate.state === 'leaving' || gate.state === 'refusing') {
      sendAway(reply);
    }
    if (ALWAYS_ANSWERED.test(incoming.url)) return;
    checkState(context);
    const route = incoming.routeOptions.url ?? 'unknown route';
    const work = gate.inFlight.begin(`${incoming.method} ${route}`);
    incoming.workInFlight = work;
    // Unlike fastify's own hook this also comes when the caller is gone, and
    // for replies that were taken over.
    reply.raw.once('close', () => work.end());
  });
  server.get('/readyz', async (_incoming, reply) => {
    const isReady = gate.state === 'serving';
    return reply.code(isReady ? 200 : 503).send({status: gate.state});
  });
}

/** The caller's next request then goes to a node that stays. */
function sendAway(reply: FastifyReply): void {
  void reply.header('connection', 'close').header(STATE_HEADER, 'leaving');
}

function checkState(context: CallerContext): void {
  switch (context.gate.state) {
    case 'starting':
      // It knows no teams yet and would take every caller for a stranger.
      throw new TypedError('overloaded', 'The node is starting.', {
        run: 'not-run',
        remedy: 'Ask /v1/entries of another node, or wait for Retry-After.',
        retryAfterMs: START_RETRY_MS,
      });
    case 'refusing':
      throw new TypedError('shutting-down', 'The node is shutting down.', {
        run: 'not-run',
        info: {entries: context.listEntries()},
      });
    default:
      return;
  }
}
