/** Connections of callers while the edge stops. */
import {once} from 'node:events';
import {type Socket, connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {type AnswerSink} from '@mimosatack/serve-requests';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type CallerEdge} from './caller_edge.js';
import {startEdge} from './edge_fixture.js';

const test = suite('connections while the edge stops');

/** More than the kernel takes of a response that nobody reads. */
const LARGE_BYTES = 16 * 1024 * 1024;
const SETTLE_MS = 100;
const TIMEOUT_MS = 3_000;
const CLOSE_HEADER = /^connection: close/gim;

const edges: CallerEdge[] = [];

async function startStoppable() {
  const sinks = new Map<string, AnswerSink>();
  const {edge, gate, port} = await startEdge(async ({requestId}, sink) => {
    sinks.set(requestId, sink);
  });
  edges.push(edge);
  gate.applyPhase('serving');
  const caller = connect(port, '127.0.0.1');
  await once(caller, 'connect');
  const stop = () => {
    gate.applyPhase('leaving');
    edge.closeIdle();
    edge.stopListening();
  };
  return {caller, edge, gate, sinks, stop};
}

function send(caller: Socket, ...paths: readonly string[]): void {
  caller.write(
    paths.map(path => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`).join(''),
  );
}

function answer(sink: AnswerSink | undefined, body: string): void {
  sink?.begin(200, ['Content-Length', String(body.length)]);
  sink?.write(Buffer.from(body));
  sink?.end();
}

/** Reads until the connection ends. */
async function readAll(caller: Socket): Promise<{text: string; end: string}> {
  const chunks: Buffer[] = [];
  caller.on('data', chunk => chunks.push(chunk));
  caller.resume();
  const end = await Promise.race([
    once(caller, 'end').then(() => 'end'),
    once(caller, 'error').then(() => 'reset'),
    sleep(TIMEOUT_MS, 'open'),
  ]);
  return {text: Buffer.concat(chunks).toString('latin1'), end};
}

test.after.each(() => edges.splice(0).forEach(edge => edge.closeAll()));

// Guards against a stop that resets a response whose end waits for a slow caller.
test('a response that its caller has not read is sent in full', async () => {
  const {caller, sinks, stop} = await startStoppable();
  caller.pause();
  send(caller, '/1');
  await sleep(SETTLE_MS);
  answer(sinks.get('/1'), 'x'.repeat(LARGE_BYTES));
  await sleep(SETTLE_MS);
  stop();
  await sleep(SETTLE_MS);
  const {text, end} = await readAll(caller);
  assert.is(text.split('\r\n\r\n')[1]?.length, LARGE_BYTES);
  assert.is(end, 'end');
});

// Guards against requests that have run and are never answered, as the response before
// ends their connection.
test('each of several requests on a connection is answered', async () => {
  const {caller, sinks, stop} = await startStoppable();
  send(caller, '/1', '/2', '/3');
  await sleep(SETTLE_MS);
  stop();
  answer(sinks.get('/2'), 'second');
  answer(sinks.get('/1'), 'first');
  answer(sinks.get('/3'), 'third');
  const {text, end} = await readAll(caller);
  assert.match(text, /first[^]*second[^]*third$/);
  assert.is(text.match(CLOSE_HEADER)?.length, 1);
  assert.is(end, 'end');
});

// Guards against a request that runs although its connection ends before its response.
test('a request behind the last response of a connection does not run', async () => {
  const {caller, sinks, stop} = await startStoppable();
  send(caller, '/1');
  await sleep(SETTLE_MS);
  stop();
  const sink = sinks.get('/1');
  sink?.begin(200, ['Content-Length', '5']);
  sink?.write(Buffer.from('fir'));
  await sleep(SETTLE_MS);
  send(caller, '/2');
  await sleep(SETTLE_MS);
  sink?.write(Buffer.from('st'));
  sink?.end();
  const {text, end} = await readAll(caller);
  assert.match(text, /first$/);
  assert.is(end, 'end');
  assert.equal([...sinks.keys()], ['/1']);
});

// Guards against a request that is lost because its head is read in part at the stop.
test('a request that arrives in parts is answered', async () => {
  const {caller, sinks, stop} = await startStoppable();
  send(caller, '/1');
  await sleep(SETTLE_MS);
  answer(sinks.get('/1'), 'first');
  await sleep(SETTLE_MS);
  caller.write('GET /2 HTTP/1.1\r\nHo');
  await sleep(SETTLE_MS);
  stop();
  caller.write('st: h\r\n\r\n');
  await sleep(SETTLE_MS);
  answer(sinks.get('/2'), 'second');
  const {text, end} = await readAll(caller);
  assert.match(text, /first[^]*second$/);
  assert.is(end, 'end');
});

// Guards against a stop that waits for connections on which nothing is under way.
test('connections that are done close at once, others after their response', async () => {
  const {caller, sinks, stop} = await startStoppable();
  send(caller, '/1');
  await sleep(SETTLE_MS);
  answer(sinks.get('/1'), 'first');
  await sleep(SETTLE_MS);
  stop();
  assert.is((await readAll(caller)).end, 'end');
});

test.run();
