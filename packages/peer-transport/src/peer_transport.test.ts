import {SystemClock, sleep} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {WebSocket} from 'ws';
import {z} from 'zod';
import {signConnection} from './authentication.js';
import {
  PEER_UNREACHABLE,
  type PeerOrigin,
  PeerTransport,
  type PeerTransportOptions,
} from './index.js';

const HOST = '127.0.0.1';
const SECRET = 'cluster-secret';
const MAX_MESSAGE_BYTES = 10_000;
const PATIENCE_MS = 10_000;

const messageSchema = z.object({text: z.string()});
type TestMessage = z.infer<typeof messageSchema>;

const clock = new SystemClock();
const running: Array<PeerTransport<TestMessage>> = [];

interface TestPeer {
  transport: PeerTransport<TestMessage>;
  address: string;
  received: Array<{from: PeerOrigin; text: string}>;
  faults: TypedError[];
}

async function startPeer(
  nodeName: string,
  change: Partial<PeerTransportOptions<TestMessage>> = {},
): Promise<TestPeer> {
  const received: TestPeer['received'] = [];
  const faults: TypedError[] = [];
  const transport = new PeerTransport<TestMessage>({
    listenHost: HOST,
    listenPort: 0,
    nodeName,
    clusterSecret: SECRET,
    clock,
    maxConnections: 10,
    maxMessageBytes: MAX_MESSAGE_BYTES,
    requestTimeoutMs: PATIENCE_MS,
    schema: messageSchema,
    onMessage: (from, {text}) => {
      received.push({from, text});
      return {text: `${nodeName} got ${text}`};
    },
    onFault: error => faults.push(error),
    ...change,
  });
  running.push(transport);
  const {port} = await transport.start();
  return {transport, address: `${HOST}:${port}`, received, faults};
}

async function waitFor(isSo: () => boolean): Promise<void> {
  const limitMs = clock.monotonicMs() + PATIENCE_MS;
  while (!isSo()) {
    assert.ok(clock.monotonicMs() < limitMs, 'the condition came to hold');
    await sleep(clock, 5);
  }
}

async function catchError(promise: Promise<unknown>): Promise<TypedError> {
  try {
    await promise;
  } catch (thrown) {
    if (thrown instanceof TypedError) return thrown;
    throw thrown;
  }
  throw new Error('The promise did not reject.');
}

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

async function stopAll(): Promise<void> {
  await Promise.all(running.splice(0).map(transport => transport.stop()));
}

const exchange = suite('messages between two transports');
exchange.after.each(stopAll);

exchange('a request gets its own reply, in either direction', async () => {
  const [a, b] = [await startPeer('a'), await startPeer('b')];
  const texts = Array.from({length: 50}, (_, index) => `text ${index}`);
  const replies = await Promise.all(
    texts.map(text => a.transport.request(b.address, {text})),
  );
  assert.equal(
    replies.map(reply => reply.text),
    texts.map(text => `b got ${text}`),
  );
  const back = await b.transport.request(a.address, {text: 'back'});
  assert.is(back.text, 'a got back');
  assert.equal(b.received[0]!.from, {address: a.address, nodeName: 'a'});
  assert.equal(a.received[0]!.from, {address: b.address, nodeName: 'b'});
  assert.is(a.transport.connectionCount, 1);
  assert.is(a.transport.counters.bytesSent, b.transport.counters.bytesReceived);
  assert.is(a.transport.counters.bytesReceived, b.transport.counters.bytesSent);
});

exchange('messages without a reply keep their order', async () => {
  const [a, b] = [await startPeer('a'), await startPeer('b')];
  const texts = Array.from({length: 100}, (_, index) => `text ${index}`);
  texts.forEach(text => a.transport.send(b.address, {text}));
  await waitFor(() => b.received.length === texts.length);
  assert.equal(
    b.received.map(({text}) => text),
    texts,
  );
});

exchange('over the bound the oldest hints go, never a request', async () => {
  // A node's memory grows without bound while a peer is slow to connect.
  // Hints and a request are queued before the connection is open.
  const [a, b] = [
    await startPeer('a', {maxQueuedMessages: 5}),
    await startPeer('b'),
  ];
  const reply = a.transport.request(b.address, {text: 'request'});
  Array.from({length: 10}, (_, index) =>
    a.transport.send(b.address, {text: `hint ${index}`}),
  );
  assert.is((await reply).text, 'b got request');
  await waitFor(() => b.received.length === 5);
  assert.equal(
    b.received.map(({text}) => text),
    ['request', 'hint 6', 'hint 7', 'hint 8', 'hint 9'],
  );
  assert.is(a.transport.counters.messagesDropped, 6);
});

exchange('connections stay within the bound', async () => {
  const a = await startPeer('a', {maxConnections: 2});
  const others = await Promise.all(
    ['b', 'c', 'd', 'e'].map(name => startPeer(name)),
  );
  await others.reduce(async (before, other) => {
    await before;
    await a.transport.request(other.address, {text: 'hello'});
  }, Promise.resolve());
  await waitFor(() => a.transport.connectionCount <= 2);
  const again = await a.transport.request(others[0]!.address, {text: 'again'});
  assert.is(again.text, 'b got again');
});

exchange('an unused connection is closed', async () => {
  const a = await startPeer('a', {idleTimeoutMs: 20});
  const b = await startPeer('b');
  await a.transport.request(b.address, {text: 'hello'});
  await waitFor(() => a.transport.connectionCount === 0);
  await waitFor(() => b.transport.connectionCount === 0);
});

exchange('the error of a handler comes back with its kind', async () => {
  const a = await startPeer('a');
  const b = await startPeer('b', {
    onMessage: () => {
      throw new TypedError('overloaded', 'Full.', {
        run: 'not-run',
        retryAfterMs: 7,
      });
    },
  });
  const error = await catchError(
    a.transport.request(b.address, {text: 'hello'}),
  );
  assert.is(error.kind, 'overloaded');
  assert.is(error.run, 'not-run');
  assert.is(error.retryAfterMs, 7);
});

exchange.run();

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
  // It signs with another secret, or plays a recorded handshake back.
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
