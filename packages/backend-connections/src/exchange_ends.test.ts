import {once} from 'node:events';
import {
  type AddressInfo,
  type Server,
  type Socket,
  createServer,
} from 'node:net';
import {SystemClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BackendConnections} from './backend_connections.js';

const test = suite('ends of an exchange');

/** How a response says where it ends. */
const FRAMINGS = [
  'length',
  'length-and-close',
  'chunks',
  'connection',
] as const;
type Framing = (typeof FRAMINGS)[number];

/** How far the response has come when the exchange ends. */
const MOMENTS = [
  'before-head',
  'after-head',
  'in-body',
  'paused',
  /** The receiver has paused, and no more has come. */
  'paused-at-the-last',
] as const;
type Moment = (typeof MOMENTS)[number];

const ENDERS = ['caller', 'shutdown', 'server-close', 'server-reset'] as const;
type Ender = (typeof ENDERS)[number];

const BODY_BYTES = 8 * 1024 * 1024;
const SETTLE_MS = 30;
const END_TIMEOUT_MS = 2_000;

function makeHead(framing: Framing): string {
  const headers = {
    length: `Content-Length: ${BODY_BYTES}\r\n`,
    'length-and-close': `Content-Length: ${BODY_BYTES}\r\nConnection: close\r\n`,
    chunks: 'Transfer-Encoding: chunked\r\n',
    connection: 'Connection: close\r\n',
  };
  return `HTTP/1.1 200 OK\r\n${headers[framing]}\r\n`;
}

function makePart(framing: Framing, bytes: number): string {
  const text = 'x'.repeat(bytes);
  if (framing !== 'chunks') return text;
  return `${bytes.toString(16)}\r\n${text}\r\n`;
}

function writeUpTo(socket: Socket, framing: Framing, moment: Moment): void {
  if (moment === 'before-head') return;
  socket.write(makeHead(framing));
  if (moment === 'in-body' || moment === 'paused-at-the-last') {
    socket.write(makePart(framing, 100));
  }
  if (moment === 'paused') socket.write(makePart(framing, BODY_BYTES / 2));
}

interface Outcome {
  /** The calls of the receiver that end the exchange. */
  ends: string[];
  uncaught: string[];
}

/** Plays one exchange to its end, then a second one on the same pool. */
async function playExchange(
  framing: Framing,
  moment: Moment,
  ender: Ender,
): Promise<Outcome> {
  const uncaught: string[] = [];
  const onUncaught = (error: Error) => uncaught.push(error.message);
  process.on('uncaughtException', onUncaught);
  const sockets: Socket[] = [];
  const server: Server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => writeUpTo(socket, framing, moment));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const connections = new BackendConnections({
    clock: new SystemClock(),
    idleLimitMs: 4_000,
  });
  const ends: string[] = [];
  let hasResumed = false;
  const handle = connections.send(
    {
      ...{address: {ip: '127.0.0.1', port}, method: 'POST', path: '/a'},
      ...{headers: ['Host', 'h'], body: Buffer.from('body')},
      ...{maxIdleMs: Infinity, connectTimeoutMs: 2_000},
    },
    {
      onHead: () => undefined,
      onData: () => !moment.startsWith('paused') || hasResumed,
      onEnd: () => ends.push('end'),
      onFailure: () => ends.push('failure'),
    },
  );
  await pause();
  if (ender === 'caller') handle.abort();
  if (ender === 'shutdown') connections.stop();
  if (ender === 'server-close') sockets.forEach(socket => socket.end());
  if (ender === 'server-reset') sockets.forEach(one => one.resetAndDestroy());
  await pause();
  // What the receiver still does once the exchange has ended must be harmless.
  hasResumed = true;
  handle.resume();
  if (ender !== 'caller') await waitForEnd(ends);
  await pause();
  handle.abort();
  await pause();
  connections.stop();
  sockets.forEach(socket => socket.destroy());
  server.close();
  process.off('uncaughtException', onUncaught);
  return {ends, uncaught};
}

/** A busy machine may take longer than a pause. */
async function waitForEnd(ends: readonly string[]): Promise<void> {
  const timeoutAtMs = Date.now() + END_TIMEOUT_MS;
  while (ends.length === 0 && Date.now() < timeoutAtMs) await pause();
}

function pause(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, SETTLE_MS));
}

function findExpectedEnds(
  framing: Framing,
  moment: Moment,
  ender: Ender,
): string[] {
  if (ender === 'caller') return [];
  const isWhole =
    ender === 'server-close' &&
    framing === 'connection' &&
    moment !== 'before-head';
  return [isWhole ? 'end' : 'failure'];
}

// Guards against an end of an exchange that ends the process by an assertion of the HTTP
// client, and against an incomplete response that counts as complete.
FRAMINGS.forEach(framing =>
  ENDERS.forEach(ender =>
    test(`by ${ender}, with a response that ends by ${framing}`, async () => {
      for (const moment of MOMENTS) {
        const {ends, uncaught} = await playExchange(framing, moment, ender);
        assert.equal(uncaught, [], moment);
        assert.equal(ends, findExpectedEnds(framing, moment, ender), moment);
      }
    }),
  ),
);

test.run();
