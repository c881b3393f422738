/** Chat completions and completions, streamed or whole. */
import {randomUUID} from 'node:crypto';
import {isServing} from '@mimosatack/agreed-state';
import {authenticateCaller} from '@mimosatack/authenticate';
import {TypedError} from '@mimosatack/errors';
import {type FastifyInstance, type FastifyReply} from 'fastify';
import {type Dispatcher, request} from 'undici';
import {z} from 'zod';
import {type CallerContext} from './caller_context.js';
import {type RequestTerms, readTerms} from './request_terms.js';

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
      authenticateCaller(incoming.headers.authorization, context.state());
      const terms = readTerms(incoming.headers, context.limits);
      const body = readBody(incoming.body);
      await complete(path, body, terms, reply, context);
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
  terms: RequestTerms,
  reply: FastifyReply,
  context: CallerContext,
): Promise<void> {
  const {baseUrl, id} = chooseEngine(body.model, context);
  const requestId = randomUUID();
  context.router.noteSent(id);
  try {
    const response = await sendToEngine(baseUrl + path, body, requestId, terms);
    reply.hijack();
    await relay(response, requestId, reply);
  } finally {
    context.router.noteDone(id);
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
      signal: AbortSignal.timeout(terms.deadlineMs),
    });
  } catch (thrown) {
    throw new TypedError('backend-unreachable', 'The engine did not answer.', {
      run: 'unknown',
      cause: thrown instanceof Error ? thrown : new Error(String(thrown)),
    });
  }
}

async function relay(
  response: Dispatcher.ResponseData,
  requestId: string,
  reply: FastifyReply,
): Promise<void> {
  const contentType = response.headers['content-type'];
  reply.raw.writeHead(response.statusCode, {
    'content-type': Array.isArray(contentType)
      ? contentType.join(',')
      : (contentType ?? 'application/json'),
    'x-request-id': requestId,
  });
  for await (const chunk of response.body) reply.raw.write(chunk);
  reply.raw.end();
}
