/** What the HTTP servers of all stand-ins share. */
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
  /** The logic behind the server, for tests in the same process. */
  core: T;
  /** Stops listening and ends all connections. */
  close(): Promise<void>;
}

/** Makes a server that hands every body over as a `Buffer`. */
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

/** Listens on loopback alone; port 0 picks a free one. */
export function listenOnLoopback(
  server: FastifyInstance,
  port: number,
): Promise<string> {
  return server.listen({host: '127.0.0.1', port});
}

/** Ends the connection without an answer. */
export function destroyConnection(
  request: FastifyRequest,
  reply: FastifyReply,
): void {
  reply.hijack();
  request.raw.socket.destroy();
}

/** The value of a header that must not be repeated, or null. */
export function readHeader(
  request: FastifyRequest,
  name: string,
): string | null {
  const value = request.headers[name];
  return typeof value === 'string' ? value : null;
}

/** Who calls, as the system's own HTTP adapter says in `x-node-id`. */
export function readNodeId(request: FastifyRequest): string | null {
  return readHeader(request, 'x-node-id');
}

/** Whether this caller is cut off. */
export function isCut(
  request: FastifyRequest,
  faults: ConnectionFaults,
): boolean {
  const nodeId = readNodeId(request);
  return nodeId !== null && faults.cutNodes.includes(nodeId);
}

/** Connection faults of the stand-ins that do work for callers. */
export interface WorkFaults extends ConnectionFaults {
  /** Next N work requests: destroyed before the body is read; not run. */
  resetBeforeRead: number;
  /** Next N work requests: destroyed after the body is read; not run. */
  resetAfterRead: number;
  /** Next N work requests: run to the end, then destroyed with no answer. */
  resetAfterRun: number;
}

/** The part of a `FaultSet` that the connection faults need. */
interface WorkFaultSet {
  readonly values: WorkFaults;
  take(key: 'resetBeforeRead' | 'resetAfterRead'): boolean;
}

/** What the connection faults of a backend server act on. */
export interface WorkFaultOptions {
  faults: WorkFaultSet;
  gate: FreezeGate;
  /** Whether a URL asks for work rather than for a report. */
  isWork: (url: string) => boolean;
}

/** Puts freezing, cuts and resets before all routes but the control ones. */
export function installWorkFaults(
  server: FastifyInstance,
  {faults, gate, isWork}: WorkFaultOptions,
): void {
  server.addHook('onRequest', async (request, reply) => {
    if (isControl(request)) return;
    const resets = isWork(request.url) && faults.take('resetBeforeRead');
    if (resets || isCut(request, faults.values)) {
      destroyConnection(request, reply);
    }
  });
  // Frozen after the body is read, so that the request takes effect on thawing
  // although its sender has given up, as with a process that was stopped.
  server.addHook('preHandler', async (request, reply) => {
    if (isControl(request)) return;
    await gate.whenOpen();
    if (isWork(request.url) && faults.take('resetAfterRead')) {
      destroyConnection(request, reply);
    }
  });
}

/** What every stand-in lets a test do. */
export interface ControlTarget {
  observe(): object;
  setFaults(input: Readonly<Record<string, unknown>>): void;
  /** Lifts all faults and empties the observations; data stays. */
  reset(): void;
}

/** Adds `/control/observed`, `/control/faults` and `/control/reset`. */
export function installControl(
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

/** Adds `/control/freeze` (`{"forMs"}`, or for ever) and `/control/thaw`. */
export function installFreezeControl(
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
