/** The HTTP server setup that all stand-ins share. */
import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {HttpProblem} from './http_problem.js';
import {type FreezeGate} from './freeze_gate.js';
import {type ConnectionFaults} from './fault_set.js';
import {parseJsonObject, readNumber} from './input.js';

const MAX_BODY_BYTES = 64 * 1024 * 1024;
const CONTROL_PREFIX = '/control';

/** A stand-in that listens on loopback. */
export interface RunningStandIn<T> {
  baseUrl: string;
  /** The stand-in itself, for tests in the same process. */
  core: T;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/** Creates a server that reads every body as a `Buffer`. */
export function createHttpServer(): FastifyInstance {
  const server = fastify({
    forceCloseConnections: true,
    bodyLimit: MAX_BODY_BYTES,
  });
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    '*',
    {parseAs: 'buffer'},
    (_request, body, done) => done(null, body),
  );
  server.setErrorHandler((error, _request, reply) => {
    const problem = toProblem(error);
    void reply.code(problem.status).send(problem.toBody());
  });
  return server;
}

/** Listens on loopback only; port 0 selects a free port. */
export function listenOnLoopback(
  server: FastifyInstance,
  port: number,
): Promise<string> {
  return server.listen({host: '127.0.0.1', port});
}

/** Destroys the connection without a response. */
export function destroyConnection(
  request: FastifyRequest,
  reply: FastifyReply,
): void {
  reply.hijack();
  request.raw.socket.destroy();
}

/** The value of a header; null if it is absent or repeated. */
export function readHeader(
  request: FastifyRequest,
  name: string,
): string | null {
  const value = request.headers[name];
  return typeof value === 'string' ? value : null;
}

/** The calling node, from the `x-node-id` header. */
export function readNodeId(request: FastifyRequest): string | null {
  return readHeader(request, 'x-node-id');
}

/** Whether the `cutNodes` fault applies to the calling node. */
export function isNodeCut(
  request: FastifyRequest,
  faults: ConnectionFaults,
): boolean {
  const nodeId = readNodeId(request);
  return nodeId !== null && faults.cutNodes.includes(nodeId);
}

/** Connection faults of backend servers. */
export interface WorkFaults extends ConnectionFaults {
  /** Next N work requests: destroyed before the body is read; not run. */
  resetBeforeRead: number;
  /** Next N work requests: destroyed after the body is read; not run. */
  resetAfterRead: number;
  /** Next N work requests: run, then destroyed without a response. */
  resetAfterRun: number;
}

/** The part of a `FaultSet` that the hooks use. */
interface WorkFaultSet {
  readonly values: WorkFaults;
  take(key: 'resetBeforeRead' | 'resetAfterRead'): boolean;
}

export interface WorkFaultOptions {
  faults: WorkFaultSet;
  gate: FreezeGate;
  /** Whether a URL runs a request, as opposed to reading a report. */
  isWork: (url: string) => boolean;
}

/** Adds hooks for freezes, cuts and resets to all but control routes. */
export function installWorkFaultHooks(
  server: FastifyInstance,
  {faults, gate, isWork}: WorkFaultOptions,
): void {
  server.addHook('onRequest', async (request, reply) => {
    if (isControl(request)) return;
    const resets = isWork(request.url) && faults.take('resetBeforeRead');
    if (resets || isNodeCut(request, faults.values)) {
      destroyConnection(request, reply);
    }
  });
  // Freezes after the body is read, as a suspended process has it in a buffer:
  // the request takes effect on thaw even if its sender has disconnected.
  server.addHook('preHandler', async (request, reply) => {
    if (isControl(request)) return;
    await gate.whenOpen();
    if (isWork(request.url) && faults.take('resetAfterRead')) {
      destroyConnection(request, reply);
    }
  });
}

/** The control operations of a stand-in. */
export interface ControlTarget {
  observe(): object;
  setFaults(input: Readonly<Record<string, unknown>>): void;
  /** Clears faults and observations; keeps data. */
  reset(): void;
}

/** Adds `/control/observed`, `/control/faults` and `/control/reset`. */
export function installControlRoutes(
  server: FastifyInstance,
  target: ControlTarget,
): void {
  server.get('/control/observed', async () => target.observe());
  server.post('/control/faults', async request => {
    target.setFaults(parseJsonObject(request.body));
    return {};
  });
  server.post('/control/reset', async () => {
    target.reset();
    return {};
  });
}

/** Adds `/control/freeze` (`{"forMs"}`; absent: until thaw) and its thaw. */
export function installFreezeRoutes(
  server: FastifyInstance,
  gate: FreezeGate,
): void {
  server.post('/control/freeze', async request => {
    const body = parseJsonObject(request.body);
    gate.freeze(body['forMs'] == null ? null : readNumber(body, 'forMs'));
    return {};
  });
  server.post('/control/thaw', async () => {
    gate.thaw();
    return {};
  });
}

function isControl(request: FastifyRequest): boolean {
  return request.url.startsWith(CONTROL_PREFIX);
}

function toProblem(error: unknown): HttpProblem {
  if (error instanceof HttpProblem) return error;
  const message = error instanceof Error ? error.message : String(error);
  const status = (error as {statusCode?: number}).statusCode ?? 500;
  return new HttpProblem(status, 'internal', message);
}
