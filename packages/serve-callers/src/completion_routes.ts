/** Chat completions and completions, streamed or whole. */
import {randomUUID} from 'node:crypto';
import {isServing} from '@mimosatack/agreed-state';
import {
  type OpenStream,
  asAbortError,
  readWholeAnswer,
} from '@mimosatack/answer-streams';
import {type Caller, authenticateCaller} from '@mimosatack/authenticate';
import {TypedError} from '@mimosatack/errors';
import {type FastifyInstance, type FastifyReply} from 'fastify';
import {type Dispatcher, request} from 'undici';
import {z} from 'zod';
import {type CallerContext} from './caller_context.js';
import {cancelAtEngine, resumeStream, takeStream} from './engine_streams.js';
import {openStreamScope} from './stream_scope.js';
import {type RequestTerms, readTerms} from './request_terms.js';
import {relayStream} from './stream_relay.js';

const bodySchema = z.looseObject({
  model: z.string().min(1).max(300),
  stream: z.boolean().optional(),
});

type CompletionBody = z.infer<typeof bodySchema>;

const PATHS = ['/v1/chat/completions', '/v1/completions'];

/** Adds the completion routes to the callers' server. */
export function addCompletionRoutes(
  server: FastifyInstance,
  context: CallerContext,
): void {
  PATHS.forEach(path =>
    server.post(path, async (incoming, reply) => {
      const caller = authenticateCaller(
        incoming.headers.authorization,
        context.state(),
      );
      const terms = readTerms(incoming.headers, context.limits);
      const body = readBody(incoming.body);
      await complete(path, body, caller, terms, reply, context);
      return reply;
    }),
  );
}

function readBody(body: unknown): CompletionBody {
  const parsed = bodySchema.safeParse(body);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  throw new TypedError(
    'bad-request',
    `${issue?.path.join('.') || 'body'}: ${issue?.message ?? 'invalid'}`,
    {run: 'not-run'},
  );
}

async function complete(
  path: string,
  body: CompletionBody,
  caller: Caller,
  terms: RequestTerms,
  reply: FastifyReply,
  context: CallerContext,
): Promise<void> {
  const engine = chooseEngine(body.model, context);
  const engineRequestId = randomUUID();
  const scope = openStreamScope(context.clock, terms.deadlineMs, [
    context.gate.cutSignal,
  ]);
  reply.request.workInFlight?.nameRequest(engineRequestId);
  context.router.noteSent(engine.id);
  try {
    const response = await sendToEngine(
      engine.baseUrl + path,
      body,
      engineRequestId,
      terms,
      scope.signal,
    );
    await answer({engine, engineRequestId, caller, terms, response}, body, {
      ...{reply, context, signal: scope.signal},
    });
  } finally {
    scope.release();
    context.router.noteDone(engine.id);
  }
}

/** A request that an engine answers. */
interface AnsweredRequest {
  engine: {id: string; baseUrl: string};
  engineRequestId: string;
  caller: Caller;
  terms: RequestTerms;
  response: Dispatcher.ResponseData;
}

interface AnswerPlace {
  reply: FastifyReply;
  context: CallerContext;
  signal: AbortSignal;
}

async function answer(
  request: AnsweredRequest,
  body: CompletionBody,
  place: AnswerPlace,
): Promise<void> {
  const {engineRequestId, response} = request;
  if (response.statusCode !== 200) throw await readRefusal(response);
  const {maxAnswerBytes} = place.context.limits;
  const first = takeStream(response);
  const requestToken = makeToken(request, place.context);
  if (body.stream) {
    await relay(request, first, requestToken, place);
    return;
  }
  const whole = await readWholeAnswer(first, {
    ...{requestId: engineRequestId, maxAnswerBytes, signal: place.signal},
  });
  await place.reply
    .header('x-request-id', requestToken)
    .type('application/json')
    .send(whole);
}

async function relay(
  {engine, engineRequestId}: AnsweredRequest,
  first: OpenStream,
  requestToken: string,
  {reply, context, signal}: AnswerPlace,
): Promise<void> {
  const request = {baseUrl: engine.baseUrl, engineRequestId};
  const watch = context.abandoned.watch(engineRequestId, () => {
    void cancelAtEngine(request).catch(() => undefined);
  });
  const outcome = await relayStream({
    ...context,
    ...context.limits,
    ...{reply, requestToken, signal, firstId: 0},
    run: {
      ...{backendServerId: engine.id, engineRequestId, first},
      resume: (fromId, resumeSignal) =>
        resumeStream(request, fromId, resumeSignal),
    },
  }).catch((thrown: unknown) => {
    watch.end(true);
    throw thrown;
  });
  watch.end(outcome.status !== 'whole');
}

function makeToken(
  {engine, engineRequestId, caller, terms}: AnsweredRequest,
  {tokens, clock, limits, incarnation}: CallerContext,
): string {
  const keptMs = terms.deadlineMs + limits.resumeWindowMs;
  return tokens.make(
    {
      ...{engineRequestId, backendServerId: engine.id},
      expiresAtMs: clock.wallMs() + keptMs,
      entryIncarnation: incarnation,
    },
    caller.team,
  );
}

async function readRefusal(
  response: Dispatcher.ResponseData,
): Promise<TypedError> {
  await response.body.dump();
  const summary = `The engine answered with status ${response.statusCode}.`;
  switch (response.statusCode) {
    case 400:
      return new TypedError('bad-request', summary, {run: 'not-run'});
    case 404:
      return new TypedError('not-warm', summary, {
        run: 'not-run',
        retryAfterMs: 2000,
      });
    default:
      return new TypedError('backend-failed', summary, {run: 'unknown'});
  }
}

function chooseEngine(
  modelText: string,
  context: CallerContext,
): {id: string; baseUrl: string} {
  const [model = '', adapter = null] = modelText.split(':', 2);
  const {configuration, placement, stewardship} = context.state();
  const nowMs = context.clock.wallMs();
  if (!configuration.find('model', model)) {
    throw new TypedError('not-found', `There is no model ${model}.`, {
      run: 'not-run',
    });
  }
  const candidates = context.board
    .listWarm(model, adapter)
    .filter(replica => {
      const slot = placement.find(replica.slotId);
      return slot !== undefined && isServing(slot, nowMs);
    })
    .map(replica => replica.backendServerId);
  const id = context.router.choose({candidates, excluded: new Set()});
  const server = id === null ? undefined : stewardship.findBackendServer(id);
  if (id === null || !server) {
    context.noteDemand(model);
    throw new TypedError('not-warm', `No replica of ${modelText} is warm.`, {
      run: 'not-run',
      retryAfterMs: 2000,
    });
  }
  return {id, baseUrl: server.baseUrl};
}

async function sendToEngine(
  url: string,
  body: CompletionBody,
  requestId: string,
  terms: RequestTerms,
  signal: AbortSignal,
): Promise<Dispatcher.ResponseData> {
  try {
    return await request(url, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'x-request-id': requestId,
        'x-priority': String(terms.priority),
      },
      body: JSON.stringify(body),
      signal,
    });
  } catch (thrown) {
    if (signal.aborted) throw asAbortError(signal);
    throw new TypedError('backend-unreachable', 'The engine did not answer.', {
      run: 'unknown',
      cause: thrown instanceof Error ? thrown : new Error(String(thrown)),
    });
  }
}
