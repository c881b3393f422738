/** The HTTP server of the model engine stand-in. */
import {randomUUID} from 'node:crypto';
import {type Clock, SystemClock} from '@mimosatack/clock';
import {type CachedCheckpoint} from '@mimosatack/types';
import {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {
  type RunningBackend,
  resolveHostId,
  listenAsBackend,
} from '../shared/backend_server.js';
import {HttpProblem} from '../shared/http_problem.js';
import {
  createHttpServer,
  destroyConnection,
  installControlRoutes,
  installFreezeRoutes,
  installWorkFaultHooks,
  readHeader,
} from '../shared/http_server.js';
import {
  parseJsonObject,
  readChoice,
  readNullableString,
  readString,
} from '../shared/input.js';
import {HttpCheckpointSource} from './checkpoint_source.js';
import {
  type CompletionKind,
  formatAnswer,
  readCompletionRequest,
} from './completion.js';
import {EngineStandIn} from './engine_core.js';
import {DEFAULT_ENGINE_OPTIONS, type EngineOptions} from './engine_options.js';
import {OrderDelivery} from './order_delivery.js';
import {type RequestRun} from './request_batch.js';
import {StreamWriter} from './stream_writer.js';

const DEFAULT_PRIORITY = 5;
const WORK_URL = /^\/v1\/(chat\/)?completions/;

interface RunRoute {
  Params: {requestId: string};
  Querystring: {from?: string};
}

/** Starts a model engine and registers it in the platform's host list. */
export async function startEngineStandIn(
  options: Partial<EngineOptions> = {},
  clock: Clock = new SystemClock(),
): Promise<RunningBackend<EngineStandIn>> {
  const core = createCore({...DEFAULT_ENGINE_OPTIONS, ...options}, clock);
  const server = createHttpServer();
  const isWork = (url: string) => WORK_URL.test(url);
  installWorkFaultHooks(server, {faults: core.faults, gate: core.gate, isWork});
  installReportRoutes(server, core);
  installOrderRoutes(server, core);
  installCompletionRoutes(server, core);
  installControlRoutes(server, core);
  installFreezeRoutes(server, core.gate);
  return listenAsBackend(server, core, 'runner');
}

function createCore(options: EngineOptions, clock: Clock): EngineStandIn {
  const {platform} = options;
  readChoice({...options}, 'fencing', ['refuses-old', 'ignores']);
  if (platform === '') return new EngineStandIn(options, clock);
  const source = new HttpCheckpointSource(
    clock,
    platform,
    resolveHostId(options),
  );
  return new EngineStandIn(options, clock, source);
}

function installReportRoutes(
  server: FastifyInstance,
  core: EngineStandIn,
): void {
  server.get('/v1/state', async (_request, reply) => {
    if (!core.faults.values.malformedState) return core.readState();
    return reply.type('application/json').send('{"replicas":[');
  });
  server.get<RunRoute>('/v1/cache-events', async request =>
    core.prefixCache.readEvents(Number(request.query.from ?? 0)),
  );
  server.post('/control/cached', async request => {
    core.cacheCheckpoints(readCheckpoints(request.body));
    return {};
  });
}

function installOrderRoutes(
  server: FastifyInstance,
  core: EngineStandIn,
): void {
  const delivery = new OrderDelivery(core);
  server.post('/v1/orders', async (request, reply) => {
    const result = await delivery.deliver(parseJsonObject(request.body));
    if (result === 'answer-lost') {
      destroyConnection(request, reply);
      return reply;
    }
    return reply.code(202).send({});
  });
  server.post('/control/release-orders', async () => {
    delivery.releaseHeld();
    return {};
  });
}

function installCompletionRoutes(
  server: FastifyInstance,
  core: EngineStandIn,
): void {
  const kinds = {'/v1/chat/completions': 'chat', '/v1/completions': 'text'};
  Object.entries(kinds).forEach(([path, kind]) =>
    server.post(path, async (request, reply) =>
      answerCompletion(core, kind as CompletionKind, request, reply),
    ),
  );
  server.get<RunRoute>(
    '/v1/requests/:requestId/stream',
    async (request, reply) => {
      const run = findRun(core, request.params.requestId);
      const from = Number(request.query.from ?? 0);
      reply.hijack();
      new StreamWriter(core, run, reply.raw, from).start();
      return reply;
    },
  );
  server.post<RunRoute>(
    '/v1/requests/:requestId/cancel',
    async (request, reply) => {
      core.cancel(request.params.requestId);
      return reply.code(202).send({});
    },
  );
  installKvRoutes(server, core);
}

function installKvRoutes(server: FastifyInstance, core: EngineStandIn): void {
  server.get<RunRoute>('/v1/kv/:requestId', async request =>
    core.exportKv(findRun(core, request.params.requestId)),
  );
  server.post('/v1/kv', async (request, reply) => {
    const body = parseJsonObject(request.body);
    const hashes = body['prefixHashes'];
    core.prefixCache.use(
      readString(body, 'model'),
      Array.isArray(hashes) ? hashes.map(String) : [],
    );
    return reply.code(202).send({});
  });
}

async function answerCompletion(
  core: EngineStandIn,
  kind: CompletionKind,
  request: FastifyRequest,
  reply: FastifyReply,
): Promise<unknown> {
  const body = parseJsonObject(request.body);
  const completion = readCompletionRequest(body);
  const requestId = readHeader(request, 'x-request-id') ?? randomUUID();
  const run = core.submit({
    header: {kind, model: completion.model, requestId},
    request: completion,
    idempotencyKey: readHeader(request, 'idempotency-key'),
    priority: Number(readHeader(request, 'x-priority') ?? DEFAULT_PRIORITY),
  });
  if (body['stream'] !== true) return answerAsJson(core, run, request, reply);
  reply.hijack();
  new StreamWriter(core, run, reply.raw, 0).start();
  return reply;
}

async function answerAsJson(
  core: EngineStandIn,
  run: RequestRun,
  request: FastifyRequest,
  reply: FastifyReply,
): Promise<unknown> {
  await new Promise<void>(resolve =>
    run.onProgress(() => run.isEnded && resolve()),
  );
  const {outcome} = run.observation;
  if (outcome === 'cancelled') {
    throw new HttpProblem(409, 'cancelled', 'The request was cancelled.');
  }
  const {faults} = core;
  if (outcome === 'cut-off' || faults.take('resetAfterRun')) {
    destroyConnection(request, reply);
    return reply;
  }
  if (faults.take('malformedAnswers')) {
    return reply.type('application/json').send('{"choices":[{');
  }
  if (!faults.take('crossedAnswers')) {
    return formatAnswer(run.plan.header, run.plan.tokens);
  }
  const other = core.findOtherRun(run);
  return other
    ? formatAnswer(other.plan.header, other.plan.tokens)
    : formatAnswer({...run.plan.header, requestId: randomUUID()}, ['foreign']);
}

function findRun(core: EngineStandIn, requestId: string): RequestRun {
  const run = core.findRun(requestId);
  if (run) return run;
  throw new HttpProblem(404, 'unknown-request', `${requestId} is not kept.`);
}

function readCheckpoints(body: unknown): CachedCheckpoint[] {
  const {checkpoints} = parseJsonObject(body);
  if (!Array.isArray(checkpoints)) return [];
  return checkpoints
    .map(each => each as Record<string, unknown>)
    .map(each => ({
      model: readString(each, 'model'),
      adapter: readNullableString(each, 'adapter'),
      version: readString(each, 'version'),
      tier: readChoice(each, 'tier', ['memory', 'disk']),
    }));
}
