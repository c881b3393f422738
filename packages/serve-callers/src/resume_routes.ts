/** Routes that resume or cancel a request at any node. */
import {type RequestToken} from '@mimosatack/answer-streams';
import {TypedError} from '@mimosatack/errors';
import {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {authenticateCaller} from '@mimosatack/authenticate';
import {type CallerContext} from './caller_context.js';
import {
  type EngineRequest,
  cancelAtEngine,
  resumeStream,
} from './engine_streams.js';
import {openStreamScope} from './stream_scope.js';
import {readRequestOptions} from './request_options.js';
import {relayStream} from './stream_relay.js';

interface RequestRoute {
  Params: {token: string};
}

const ID_REGEX = /^\d{1,15}$/;
const HTTP_ACCEPTED = 202;

export function addResumeRoutes(
  server: FastifyInstance,
  context: CallerContext,
): void {
  server.get<RequestRoute>('/v1/requests/:token', async (incoming, reply) => {
    const firstId = readLastEventId(incoming) + 1;
    const token = readToken(incoming, context);
    await resume(incoming, reply, token, firstId, context);
    return reply;
  });
  server.post<RequestRoute>(
    '/v1/requests/:token/cancel',
    async (incoming, reply) => {
      const token = readToken(incoming, context);
      context.abandoned.noteResumed(token.engineRequestId);
      await cancelAtEngine(findEngine(token, context));
      return reply.code(HTTP_ACCEPTED).send({});
    },
  );
}

/** Returns -1 when the caller has no events. */
function readLastEventId(incoming: FastifyRequest): number {
  const text = incoming.headers['last-event-id'];
  if (text === undefined || text === '') return -1;
  if (typeof text === 'string' && ID_REGEX.test(text)) return Number(text);
  throw new TypedError('bad-request', 'Last-Event-ID must be an event id.', {
    run: 'not-run',
  });
}

/** Every refusal is identical, so that callers cannot probe for requests. */
function readToken(
  incoming: FastifyRequest<RequestRoute>,
  context: CallerContext,
): RequestToken {
  const {team} = authenticateCaller(
    incoming.headers.authorization,
    context.state(),
  );
  const nowMs = context.clock.wallMs();
  const token = context.tokens.verify(incoming.params.token, team, nowMs);
  if (token) return token;
  throw makeNotFound();
}

function makeNotFound(): TypedError {
  return new TypedError('not-found', 'There is no such request.', {
    remedy: 'Use the x-request-id of an answer to this team; send it again.',
  });
}

function findEngine(
  {backendServerId, engineRequestId}: RequestToken,
  context: CallerContext,
): EngineRequest {
  const {stewardship} = context.state();
  const server = stewardship.findBackendServer(backendServerId);
  if (server) return {baseUrl: server.baseUrl, engineRequestId};
  throw new TypedError('stream-broken', 'The backend server is gone.', {
    run: 'unknown',
    remedy: 'Send the request again and drop this answer.',
  });
}

async function resume(
  incoming: FastifyRequest<RequestRoute>,
  reply: FastifyReply,
  token: RequestToken,
  firstId: number,
  context: CallerContext,
): Promise<void> {
  const {engineRequestId, backendServerId} = token;
  const engine = findEngine(token, context);
  const {deadlineMs} = readRequestOptions(incoming.headers, context.limits);
  incoming.workInFlight?.setRequestId(engineRequestId);
  noteResumed(token, context);
  context.logger.log('stream-resumed', {
    requestId: engineRequestId,
    lastEventId: firstId - 1,
  });
  const scope = openStreamScope(context.clock, deadlineMs, [
    context.drainGate.abortSignal,
  ]);
  try {
    const first = await resumeStream(engine, firstId, scope.signal);
    await relayStream({
      ...context,
      ...context.limits,
      ...{reply, firstId, signal: scope.signal},
      requestToken: incoming.params.token,
      run: {
        ...{backendServerId, engineRequestId, openStream: first},
        resume: (fromId, signal) => resumeStream(engine, fromId, signal),
      },
    });
  } finally {
    scope.release();
  }
}

function noteResumed(
  {engineRequestId, entryIncarnation}: RequestToken,
  context: CallerContext,
): void {
  if (entryIncarnation === context.incarnation) {
    context.abandoned.noteResumed(engineRequestId);
  } else {
    context.notifyResumed(entryIncarnation, engineRequestId);
  }
}
