import {type AddressInfo} from 'node:net';
import {ManualClock, sleep} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {WebSocket, WebSocketServer} from 'ws';
import {signConnection} from './authentication.js';
import {PEER_UNREACHABLE} from './index.js';
import {
  HOST,
  MAX_MESSAGE_BYTES,
  PATIENCE_MS,
  SECRET,
  type TestMessage,
  catchError,
  clock,
  startPeer,
  stopAll,
  waitFor,
} from './peer_fixture.js';

/** A connection that is signed as a peer's and then misbehaves. */
function openRawSocket(
  address: string,
  headers = signConnection(
    {address: '127.0.0.1:1', nodeName: 'raw'},
    SECRET,
    clock,
  ),
): Promise<WebSocket> {
  const socket = new WebSocket(`ws://${address}/peer`, {headers});
  return new Promise((resolve, reject) => {
    socket.once('open', () => resolve(socket));
    socket.once('error', reject);
  });
}

/** The code with which the other side closes after it got the data. */
function sendAndAwaitClose(
  socket: WebSocket,
  data: Buffer | string,
): Promise<number> {
  return new Promise(resolve => {
    socket.once('close', resolve);
    socket.send(data);
  });
}

const failures = suite('peers that fail');
failures.after.each(stopAll);

failures('a lost reply ends in a typed error', async () => {
  // A request would wait for ever for an answer that does not come.
  // The peer takes the request and never replies.
  const a = await startPeer('a');
  const b = await startPeer('b', {onMessage: () => new Promise(() => {})});
  const error = await catchError(
    a.transport.request(b.address, {text: 'hello'}, 50),
  );
  assert.is(error.kind, PEER_UNREACHABLE);
  assert.is(error.run, 'unknown');
});

failures('a connection that closes ends its requests', async () => {
  // A request waits out its whole timeout though the peer is gone.
  // The peer stops after it has read the request.
  const a = await startPeer('a');
  const b = await startPeer('b', {
    onMessage: () => {
      void b.transport.stop();
      return new Promise(() => {});
    },
  });
  const error = await catchError(
    a.transport.request(b.address, {text: 'hello'}),
  );
  assert.is(error.kind, PEER_UNREACHABLE);
  assert.is(error.run, 'unknown');
  assert.match(error.message, 'closed');
});

failures('a connection whose other end vanished is cut', async () => {
  // Requests to a peer time out one after the other though it is back.
  // Its host vanished without closing: the socket stays open and silent, and
  // after a first timeout the ping stays unanswered too.
  const manual = new ManualClock(clock.wallMs());
  const a = await startPeer('a', {clock: manual});
  const events: string[] = [];
  const mute = new WebSocketServer({port: 0, host: HOST, autoPong: false});
  mute.on('connection', socket => {
    socket.on('message', () => events.push('message'));
    socket.on('ping', () => events.push('ping'));
  });
  await new Promise(resolve => mute.once('listening', resolve));
  const {port} = mute.address() as AddressInfo;
  const reply = catchError(
    a.transport.request(`${HOST}:${port}`, {text: 'hello'}, 50),
  );
  await waitFor(() => events.includes('message'));
  manual.advance(50);
  assert.is((await reply).kind, PEER_UNREACHABLE);
  await waitFor(() => events.includes('ping'));
  assert.is(a.transport.connectionCount, 1);
  manual.advance(PATIENCE_MS);
  await waitFor(() => a.transport.connectionCount === 0);
  mute.close();
});

failures('a slow handler does not cost the connection', async () => {
  // A long request fails because a short one beside it timed out.
  // Both wait at handlers, but the peer's host still answers pings.
  const manual = new ManualClock(clock.wallMs());
  const a = await startPeer('a', {clock: manual});
  const waiting: Array<(reply: TestMessage) => void> = [];
  const b = await startPeer('b', {
    onMessage: () => new Promise(resolve => waiting.push(resolve)),
  });
  const long = a.transport.request(b.address, {text: 'long'}, 60_000);
  const short = catchError(a.transport.request(b.address, {text: 'short'}, 50));
  await waitFor(() => waiting.length === 2);
  manual.advance(50);
  assert.is((await short).kind, PEER_UNREACHABLE);
  const next = a.transport.request(b.address, {text: 'next'}, 60_000);
  await waitFor(() => waiting.length === 3);
  waiting[2]!({text: 'after the pong'});
  assert.is((await next).text, 'after the pong');
  manual.advance(PATIENCE_MS);
  waiting[0]!({text: 'at last'});
  assert.is((await long).text, 'at last');
});

failures('a peer that restarts is reached again', async () => {
  // After a node was replaced at its address, others no longer reach it.
  // It stops, requests fail as not run, and a new process takes the port.
  const a = await startPeer('a');
  const first = await startPeer('b');
  await a.transport.request(first.address, {text: 'one'});
  await first.transport.stop();
  await waitFor(() => a.transport.connectionCount === 0);
  const error = await catchError(
    a.transport.request(first.address, {text: 'two'}),
  );
  assert.is(error.kind, PEER_UNREACHABLE);
  assert.is(error.run, 'not-run');
  const listenPort = Number(first.address.split(':')[1]);
  await startPeer('b again', {listenPort});
  const replies: string[] = [];
  while (replies.length === 0) {
    await a.transport
      .request(first.address, {text: 'three'})
      .then(reply => replies.push(reply.text))
      .catch(() => sleep(clock, 5));
  }
  assert.equal(replies, ['b again got three']);
});

failures('a wrong secret is refused and reported by both', async () => {
  // A stranger, or a node set up wrongly, takes part in the cluster.
  // It signs its connection with another secret.
  const a = await startPeer('a', {clusterSecret: 'another'});
  const b = await startPeer('b');
  const error = await catchError(
    a.transport.request(b.address, {text: 'hello'}),
  );
  assert.is(error.kind, 'unauthorized');
  assert.is(error.run, 'not-run');
  assert.is(b.received.length, 0);
  assert.is(b.transport.counters.faults, 1);
  assert.equal(
    [...a.faults, ...b.faults].map(fault => fault.kind),
    ['unauthorized', 'unauthorized'],
  );
});

failures('an old signature and a used one are refused', async () => {
  const b = await startPeer('b');
  const origin = {address: '127.0.0.1:1', nodeName: 'raw'};
  const hourAgo = {
    wallMs: () => clock.wallMs() - 3_600_000,
    monotonicMs: () => 0,
    setTimer: () => ({cancel: () => {}}),
  };
  const old = signConnection(origin, SECRET, hourAgo);
  const fresh = signConnection(origin, SECRET, clock);
  const first = await openRawSocket(b.address, fresh);
  const attempts = await Promise.allSettled(
    [old, fresh, {}].map(headers => openRawSocket(b.address, headers)),
  );
  assert.ok(attempts.every(({status}) => status === 'rejected'));
  assert.is(b.faults.length, 3);
  first.terminate();
});

failures('malformed and too large frames end only their link', async () => {
  // One faulty peer takes a node down for all the others.
  // It sends noise, text, a message of no known type, and far too much.
  const [a, b] = [await startPeer('a'), await startPeer('b')];
  const unknownType = Buffer.from([0x81, 0xa4, 0x62, 0x6f, 0x64, 0x79, 0x07]);
  const cases: Array<{data: Buffer | string; code: number}> = [
    {data: Buffer.from([0xc1, 0xff, 0x00]), code: 1007},
    {data: Buffer.alloc(0), code: 1007},
    {data: 'text', code: 1007},
    {data: unknownType, code: 1007},
    {data: Buffer.alloc(MAX_MESSAGE_BYTES + 1), code: 1009},
  ];
  const codes = await Promise.all(
    cases.map(async ({data}) =>
      sendAndAwaitClose(await openRawSocket(b.address), data),
    ),
  );
  assert.equal(
    codes,
    cases.map(({code}) => code),
  );
  assert.equal(
    b.faults.map(fault => fault.kind),
    cases.map(() => 'peer-message-invalid'),
  );
  const reply = await a.transport.request(b.address, {text: 'still here'});
  assert.is(reply.text, 'b got still here');
});

failures('a message that is too large is refused before it goes', async () => {
  const [a, b] = [await startPeer('a'), await startPeer('b')];
  const text = 'x'.repeat(MAX_MESSAGE_BYTES);
  const error = await catchError(a.transport.request(b.address, {text}));
  assert.is(error.kind, 'peer-message-invalid');
  assert.is(error.run, 'not-run');
  assert.is(a.transport.connectionCount, 1);
});

failures.run();
