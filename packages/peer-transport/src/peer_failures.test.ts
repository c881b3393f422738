import {type AddressInfo, Socket} from 'node:net';
import {ManualClock, sleep} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {WebSocket, WebSocketServer} from 'ws';
import {createAuthHeaders} from './authentication.js';
import {PEER_UNREACHABLE} from './index.js';
import {
  HOST,
  MAX_MESSAGE_BYTES,
  type TestPeer,
  TIMEOUT_MS,
  SECRET,
  type TestMessage,
  catchError,
  clock,
  startPeer,
  stopAll,
  waitFor,
} from './peer_fixture.js';

/** Opens an authenticated connection for arbitrary data. */
function openRawSocket(
  address: string,
  headers = createAuthHeaders(
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

/** Sends data and resolves with the close code of the peer. */
function sendAndAwaitClose(
  socket: WebSocket,
  data: Buffer | string,
): Promise<number> {
  return new Promise(resolve => {
    socket.once('close', resolve);
    socket.send(data);
  });
}

const failures = suite('peer failures');
failures.after.each(stopAll);

// Guards against a request that waits forever for a peer that never replies.
failures('rejects a request without a reply after its timeout', async () => {
  const a = await startPeer('a');
  const b = await startPeer('b', {
    onMessage: (_from, {text}) =>
      text === 'connect' ? {text: 'connected'} : new Promise(() => {}),
  });
  // A request that times out while the connection is opened is known not to have run.
  await a.transport.request(b.address, {text: 'connect'});
  const error = await catchError(
    a.transport.request(b.address, {text: 'hello'}, 50),
  );
  assert.is(error.kind, PEER_UNREACHABLE);
  assert.is(error.run, 'unknown');
});

// Guards against a request that counts as run though its connection was not open in time.
failures(
  'a request that times out before its connection opens has not run',
  async () => {
    const a = await startPeer('a');
    const b = await startPeer('b', {onMessage: () => new Promise(() => {})});
    const error = await catchError(
      a.transport.request(b.address, {text: 'hello'}, 0),
    );
    assert.is(error.kind, PEER_UNREACHABLE);
    assert.is(error.run, 'not-run');
  },
);

// Guards against a peer that counts as silent although it refuses connections, since another
// message had tried to connect a moment before.
failures(
  'names the refused connection also while it waits to connect again',
  async () => {
    const a = await startPeer('a');
    const b = await startPeer('b');
    await b.transport.stop();
    const errors = [
      await catchError(a.transport.request(b.address, {text: 'first'})),
      await catchError(a.transport.request(b.address, {text: 'second'})),
    ];
    assert.is(a.transport.counters.connectFailures, 1);
    errors.forEach(error => {
      assert.is(error.kind, PEER_UNREACHABLE);
      assert.is(error.run, 'not-run');
      assert.match(error.message, 'ECONNREFUSED');
    });
  },
);

// Guards against a request that waits for its timeout after the peer stopped.
failures('rejects requests when their connection closes', async () => {
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

// Guards against repeated request timeouts on a half-open connection to a host
// that disappeared without closing it.
failures('destroys a connection that answers no ping', async () => {
  const manualClock = new ManualClock(clock.wallMs());
  const a = await startPeer('a', {clock: manualClock});
  const events: string[] = [];
  const silentServer = new WebSocketServer({
    port: 0,
    host: HOST,
    autoPong: false,
  });
  silentServer.on('connection', socket => {
    socket.on('message', () => events.push('message'));
    socket.on('ping', () => events.push('ping'));
  });
  await new Promise(resolve => silentServer.once('listening', resolve));
  const {port} = silentServer.address() as AddressInfo;
  const reply = catchError(
    a.transport.request(`${HOST}:${port}`, {text: 'hello'}, 50),
  );
  await waitFor(() => events.includes('message'));
  manualClock.advance(50);
  assert.is((await reply).kind, PEER_UNREACHABLE);
  await waitFor(() => events.includes('ping'));
  assert.is(a.transport.connectionCount, 1);
  manualClock.advance(TIMEOUT_MS);
  await waitFor(() => a.transport.connectionCount === 0);
  silentServer.close();
});

// Guards against a long request that fails because another request on the same
// connection timed out.
failures('keeps a connection that answers pings after a timeout', async () => {
  const manualClock = new ManualClock(clock.wallMs());
  const a = await startPeer('a', {clock: manualClock});
  const waiting: Array<(reply: TestMessage) => void> = [];
  const b = await startPeer('b', {
    onMessage: () => new Promise(resolve => waiting.push(resolve)),
  });
  const long = a.transport.request(b.address, {text: 'long'}, 60_000);
  const short = catchError(a.transport.request(b.address, {text: 'short'}, 50));
  await waitFor(() => waiting.length === 2);
  manualClock.advance(50);
  assert.is((await short).kind, PEER_UNREACHABLE);
  const next = a.transport.request(b.address, {text: 'next'}, 60_000);
  await waitFor(() => waiting.length === 3);
  waiting[2]!({text: 'after the pong'});
  assert.is((await next).text, 'after the pong');
  manualClock.advance(TIMEOUT_MS);
  waiting[0]!({text: 'at last'});
  assert.is((await long).text, 'at last');
});

// Guards against permanent failure of requests to an address whose node was
// replaced.
failures('reconnects to a peer that restarted', async () => {
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

// Guards against an unauthorized or misconfigured node that joins the cluster.
failures('refuses a wrong secret and reports it on both sides', async () => {
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

// Guards against a process that reaches backend servers through a node it is no peer of.
failures('relays only for peers that know the secret', async () => {
  const targets: string[] = [];
  const onRelay = (target: string) => {
    targets.push(target);
    return Promise.resolve({status: 'unreachable' as const});
  };
  const relay = await startPeer('relay', {onRelay});
  const open = (from: TestPeer) =>
    catchError(
      from.transport.openRelay(
        ...([relay.address, '10.0.0.1:80', 500] as const),
        () => new Socket(),
      ),
    );
  const stranger = await startPeer('stranger', {clusterSecret: 'other'});
  assert.is((await open(stranger)).kind, 'peer-unreachable');
  assert.equal(targets, []);
  assert.is((await open(await startPeer('peer'))).kind, 'backend-unreachable');
  assert.equal(targets, ['10.0.0.1:80']);
  const silent = await startPeer('silent');
  const error = await catchError(
    relay.transport.openRelay(
      ...([silent.address, '10.0.0.1:80', 500] as const),
      () => new Socket(),
    ),
  );
  assert.is(error.kind, 'peer-unreachable');
});

failures('refuses expired, replayed and missing signatures', async () => {
  const b = await startPeer('b');
  const origin = {address: '127.0.0.1:1', nodeName: 'raw'};
  const hourOldClock = {
    wallMs: () => clock.wallMs() - 3_600_000,
    monotonicMs: () => 0,
    setTimer: () => ({cancel: () => {}}),
  };
  const old = createAuthHeaders(origin, SECRET, hourOldClock);
  const fresh = createAuthHeaders(origin, SECRET, clock);
  const first = await openRawSocket(b.address, fresh);
  const attempts = await Promise.allSettled(
    [old, fresh, {}].map(headers => openRawSocket(b.address, headers)),
  );
  assert.ok(attempts.every(({status}) => status === 'rejected'));
  assert.is(b.faults.length, 3);
  first.terminate();
});

// Guards against a faulty peer that crashes a node or disturbs other peers.
failures('closes only the connection of an invalid frame', async () => {
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

failures('refuses an oversized message before sending it', async () => {
  const [a, b] = [await startPeer('a'), await startPeer('b')];
  const text = 'x'.repeat(MAX_MESSAGE_BYTES);
  const error = await catchError(a.transport.request(b.address, {text}));
  assert.is(error.kind, 'peer-message-invalid');
  assert.is(error.run, 'not-run');
  assert.is(a.transport.connectionCount, 1);
});

failures.run();
