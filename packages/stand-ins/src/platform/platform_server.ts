/** The HTTP server of the platform stand-in. */
import {type Clock, SystemClock, sleep} from '@mimosatack/clock';
import {type HostEntry} from '@mimosatack/types';
import {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {HttpProblem} from '../shared/http_problem.js';
import {
  type RunningStandIn,
  createHttpServer,
  destroyConnection,
  installControlRoutes,
  isNodeCut,
  listenOnLoopback,
  readNodeId,
} from '../shared/http_server.js';
import {
  badRequest,
  parseJsonObject,
  readChoice,
  readNullableString,
  readNumber,
  readString,
} from '../shared/input.js';
import {type PlatformFaults} from './log_service.js';
import {
  DEFAULT_PLATFORM_OPTIONS,
  type PlatformOptions,
  PlatformStandIn,
} from './platform_core.js';

const DEFAULT_PAGE_RECORDS = 500;

interface StreamRoute {
  Params: {stream: string};
  Querystring: {from?: string; limit?: string; waitMs?: string};
}

interface HostRoute {
  Params: {hostId: string};
}

/** Starts the log service, host list and weight store on one port. */
export async function startPlatformStandIn(
  options: Partial<PlatformOptions> = {},
  clock: Clock = new SystemClock(),
): Promise<RunningStandIn<PlatformStandIn>> {
  const settings = {...DEFAULT_PLATFORM_OPTIONS, ...options};
  const core = new PlatformStandIn(settings, clock);
  const server = createHttpServer();
  installLogRoutes(server, core);
  installHostRoutes(server, core);
  installWeightStoreRoutes(server, core);
  installControlRoutes(server, core);
  const baseUrl = await listenOnLoopback(server, settings.port);
  const close = async () => {
    core.log.faults.set({down: true});
    await server.close();
  };
  return {baseUrl, core, close};
}

function installLogRoutes(
  server: FastifyInstance,
  core: PlatformStandIn,
): void {
  const {log} = core;
  server.post<StreamRoute>(
    '/v1/streams/:stream/records',
    async (request, reply) => {
      if (!(await admit(core, log.faults.values, request, reply))) return reply;
      const isAffected = isAffectedCaller(request, log.faults.values);
      if (isAffected && log.faults.take('refuseAppends')) throw unavailable();
      const {stream} = request.params;
      const offset = log.append(
        stream,
        readBytes(request),
        readNodeId(request),
      );
      if (!isAffected || !log.faults.take('loseAppendAnswers')) return {offset};
      log.recordLostAnswer(stream);
      destroyConnection(request, reply);
      return reply;
    },
  );
  server.get<StreamRoute>(
    '/v1/streams/:stream/records',
    async (request, reply) => {
      if (!(await admit(core, log.faults.values, request, reply))) return reply;
      return readPage(core, request, reply);
    },
  );
  server.get<StreamRoute>('/control/streams/:stream', async request => ({
    records: log.readHistory(request.params.stream).map(toJsonRecord),
  }));
  server.post<StreamRoute>('/control/streams/:stream/trim', async request => {
    const body = parseJsonObject(request.body);
    log.trim(request.params.stream, readNumber(body, 'firstOffset'));
    return {};
  });
}

/** Long-polls for a record at `from`; checks faults again on each wake. */
async function readPage(
  core: PlatformStandIn,
  request: FastifyRequest<StreamRoute>,
  reply: FastifyReply,
) {
  const {log, clock} = core;
  const {from, limit, waitMs} = request.query;
  const range = {
    stream: request.params.stream,
    from: toNumber(from, 0),
    limit: toNumber(limit, DEFAULT_PAGE_RECORDS),
  };
  const deadlineMs = clock.monotonicMs() + toNumber(waitMs, 0);
  let page = log.read(range);
  while (page.records.length === 0 && clock.monotonicMs() < deadlineMs) {
    await log.waitForChange(deadlineMs - clock.monotonicMs());
    if (!checkAvailable(log.faults.values, request, reply)) return reply;
    page = log.read(range);
  }
  return {...page, records: page.records.map(toJsonRecord)};
}

function installHostRoutes(
  server: FastifyInstance,
  core: PlatformStandIn,
): void {
  const {hosts} = core;
  server.get('/v1/hosts', async (request, reply) => {
    if (!(await admit(core, hosts.faults.values, request, reply))) return reply;
    return {hosts: hosts.listHosts()};
  });
  server.post('/control/hosts', async request => {
    hosts.put(readHostEntry(request.body));
    return {};
  });
  server.post<HostRoute>('/control/hosts/:hostId/state', async request => {
    const body = parseJsonObject(request.body);
    const state = readChoice(body, 'state', ['live', 'leaving']);
    hosts.setState(request.params.hostId, state);
    return {};
  });
  server.delete<HostRoute>('/control/hosts/:hostId', async request => {
    hosts.remove(request.params.hostId);
    return {};
  });
}

function installWeightStoreRoutes(
  server: FastifyInstance,
  core: PlatformStandIn,
): void {
  const {weightStore} = core;
  server.get('/v1/weight-store', async (request, reply) => {
    if (!(await admit(core, weightStore.faults.values, request, reply))) {
      return reply;
    }
    return weightStore.limits;
  });
  server.post('/v1/weight-store/fetch', async (request, reply) => {
    if (!(await admit(core, weightStore.faults.values, request, reply))) {
      return reply;
    }
    const body = parseJsonObject(request.body);
    const ref = {
      model: readString(body, 'model'),
      adapter: readNullableString(body, 'adapter'),
      version: readString(body, 'version'),
    };
    const sizeFactor = readNumber(body, 'sizeFactor', 1);
    await new Promise<void>(resolve => {
      const fetchRequest = {ref, sizeFactor, nodeId: readNodeId(request)};
      const transfer = weightStore.fetch(fetchRequest, resolve);
      reply.raw.once('close', () => transfer.cancel());
    });
    return {};
  });
}

/** Applies faults to a request; false if its connection was destroyed. */
async function admit(
  core: PlatformStandIn,
  faults: PlatformFaults,
  request: FastifyRequest,
  reply: FastifyReply,
): Promise<boolean> {
  if (!checkAvailable(faults, request, reply)) return false;
  if (faults.slowMs > 0 && isAffectedCaller(request, faults)) {
    await sleep(core.clock, faults.slowMs);
  }
  return checkAvailable(faults, request, reply);
}

function checkAvailable(
  faults: PlatformFaults,
  request: FastifyRequest,
  reply: FastifyReply,
): boolean {
  if (isNodeCut(request, faults)) {
    destroyConnection(request, reply);
    return false;
  }
  if (faults.down && isAffectedCaller(request, faults)) throw unavailable();
  return true;
}

function isAffectedCaller(
  request: FastifyRequest,
  {onlyNodes}: PlatformFaults,
): boolean {
  const nodeId = readNodeId(request);
  return (
    onlyNodes.length === 0 || (nodeId !== null && onlyNodes.includes(nodeId))
  );
}

function unavailable(): HttpProblem {
  return new HttpProblem(503, 'platform-unavailable', 'The service is down.');
}

function readBytes(request: FastifyRequest): Uint8Array {
  return Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
}

function toNumber(text: string | undefined, fallback: number): number {
  const value = text === undefined ? fallback : Number(text);
  if (Number.isFinite(value)) return value;
  throw badRequest(`${text} is not a number.`);
}

function toJsonRecord<T extends {data: Uint8Array}>(record: T) {
  return {...record, data: Buffer.from(record.data).toString('base64')};
}

function readHostEntry(body: unknown): HostEntry {
  const entry = parseJsonObject(body);
  return {
    hostId: readString(entry, 'hostId'),
    role: readChoice(entry, 'role', ['entry', 'runner', 'service']),
    baseUrl: readString(entry, 'baseUrl'),
    pool: readString(entry, 'pool'),
    failureDomain: readString(entry, 'failureDomain'),
    region: readString(entry, 'region'),
    state: readChoice(entry, 'state', ['live', 'leaving']),
  };
}
