import {type IncomingMessage} from 'node:http';
import {type AddressInfo, Socket, createServer} from 'node:net';
import {once} from 'node:events';
import {SystemClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {DrainGate, InFlight} from '@mimosatack/drain-node';
import {type AnswerSink, type CallerRequest} from '@mimosatack/serve-requests';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CallerEdge} from './caller_edge.js';
import {type EdgeDialect} from './edge_dialect.js';
import {MemoryWatch, RequestMemory} from './memory_watch.js';
import {readSendQueues} from './send_queues.js';

const test = suite('callers that read slowly');

const LIMIT_BYTES = 1_048_576;
const CHUNK = Buffer.alloc(65_536, 'x');
const RESPONSE_CHUNKS = 400;

const REST = {requestId: 'rest', peer: {}, cutOff: () => undefined};

const DIALECT: EdgeDialect = {
  readRequest: ({headers, url}: IncomingMessage) =>
    ({requestId: url, headers: [], host: headers.host}) as unknown as Omit<
      CallerRequest,
      'body'
    >,
  formatRefusal: ({retryAfterMs}) => ({
    status: 503,
    headers: ['Retry-After', String(retryAfterMs), 'Content-Length', '0'],
    body: '',
  }),
};

/** Answers `/short` at once, and other paths with 25 MB as fast as they are read. */
async function respond(request: CallerRequest, sink: AnswerSink) {
  sink.begin(200, []);
  const chunks = request.requestId === '/short' ? 0 : RESPONSE_CHUNKS;
  for (let sent = 0; sent < chunks && !sink.gone.aborted; sent += 1) {
    if (sink.write(CHUNK)) continue;
    await new Promise<void>(resolve => sink.onDrain(resolve));
  }
  sink.end();
}

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  return port;
}

async function startEdge() {
  const clock = new SystemClock();
  const cutOff: string[] = [];
  const pressures: boolean[] = [];
  const port = await findFreePort();
  const memory = new MemoryWatch({
    ...{clock, limitBytes: LIMIT_BYTES},
    observer: {
      onPressure: isUnderPressure => pressures.push(isUnderPressure),
      onCutOff: requestId => cutOff.push(requestId),
      onRefused: () => undefined,
    },
    readSendQueues: () => readSendQueues(port),
  });
  const edge = new CallerEdge({
    ...{clock, memory, dialect: DIALECT, serve: respond},
    gate: new DrainGate(new InFlight(clock)),
    checkHead: () => null,
    onNoMemory: () => undefined,
    onFault: error => assert.unreachable(error.message),
  });
  await edge.listen({ip: '127.0.0.1', port});
  return {edge, port, memory, cutOff, pressures};
}

/** Sends a request and reads nothing until `resume`. */
function sendRequest(port: number, path: string): Socket {
  const socket = new Socket();
  socket.on('error', () => undefined);
  socket.pause();
  socket.connect(port, '127.0.0.1');
  socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n`);
  return socket;
}

async function readHead(port: number, path: string): Promise<string> {
  const socket = sendRequest(port, path);
  socket.resume();
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  return bytes.toString('latin1');
}

const waitMs = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function waitFor(what: string, isMet: () => boolean | Promise<boolean>) {
  for (let turn = 0; turn < 400; turn += 1) {
    if (await isMet()) return;
    await waitMs(25);
  }
  assert.unreachable(`${what} never held`);
}

// Guards against callers that fill the memory of a node by reading nothing, so that it
// serves nobody or runs out of memory.
test('callers that read nothing are cut off, and others are served', async () => {
  const {edge, port, memory, cutOff, pressures} = await startEdge();
  let mostBytes = 0;
  const observer = setInterval(() => {
    mostBytes = Math.max(mostBytes, memory.budget.usedBytes);
  }, 1);
  const reading = sendRequest(port, '/reading');
  const reader = setInterval(() => void reading.read(2_048), 10);
  const unread: Socket[] = [];
  let refusal = '';
  for (let at = 0; at < 20 && refusal === ''; at += 1) {
    const heldBytes = memory.budget.usedBytes;
    unread.push(sendRequest(port, `/unread-${at}`));
    await waitFor(
      'another response to be unread',
      () => memory.budget.usedBytes > heldBytes + CHUNK.length,
    );
    const head = await readHead(port, '/short');
    if (head.startsWith('HTTP/1.1 503')) refusal = head;
  }
  assert.match(refusal, /Retry-After: 2\d{3}/);
  await waitFor('others to be served', async () =>
    (await readHead(port, '/short')).startsWith('HTTP/1.1 200'),
  );
  assert.ok(mostBytes < LIMIT_BYTES + 3 * CHUNK.length, `${mostBytes} held`);
  assert.ok(cutOff.length > 0 && cutOff.length < unread.length);
  assert.is(new Set(cutOff).size, cutOff.length);
  assert.not(cutOff.includes('/reading'));
  await waitFor('the pressure to end', () => pressures.at(-1) === false);
  assert.equal(pressures, [true, false]);
  [reader, observer].forEach(clearInterval);
  [reading, ...unread].forEach(socket => socket.destroy());
  await waitFor('all to be released', () => memory.budget.usedBytes === 0);
  edge.closeAll();
  edge.stopListening();
});

// Guards against cutting off a caller whose connection takes no bytes for seconds, since
// the kernel has some MB for it, although it reads.
test('a caller that reads slowly is cut off only once it stops', async () => {
  const {edge, port, memory, cutOff} = await startEdge();
  const socket = sendRequest(port, '/slow');
  const reader = setInterval(() => void socket.read(10_240), 50);
  await waitFor(
    'the response to be unread',
    () => memory.budget.usedBytes > CHUNK.length,
  );
  const rest = memory.admit(REST, 0.8 * LIMIT_BYTES);
  assert.instance(memory.admit(REST, LIMIT_BYTES), TypedError);
  await waitMs(5_000);
  assert.equal(cutOff, []);
  clearInterval(reader);
  await waitFor('the caller to be cut off', () => cutOff.length > 0);
  assert.equal(cutOff, ['/slow']);
  assert.instance(rest, RequestMemory);
  (rest as RequestMemory).close();
  socket.destroy();
  edge.closeAll();
  edge.stopListening();
});

test.run();
