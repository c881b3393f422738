import {once} from 'node:events';
import {type AddressInfo, Socket, createServer} from 'node:net';
import {
  type BackendCall,
  BackendConnections,
  BackendSocket,
  collectAnswer,
  isRelayLost,
} from '@mimosatack/backend-connections';
import {SystemClock, sleep} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {type SocketAddress} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type EndedRelay, RelayServer} from './relay_server.js';
import {RelayedSocket} from './relayed_socket.js';

const test = suite('relaying for another host');

const CLOCK = new SystemClock();
const work = {end: () => undefined};
const OTHER_PORT = 9;
/** Time for bytes to pass the relay. */
const PASS_MS = 20;

function connect(
  {port}: Pick<SocketAddress, 'port'>,
  socket: Socket = new BackendSocket(),
): Promise<Socket> {
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.connect({host: '127.0.0.1', port}, () => resolve(socket));
  });
}

/** A relay to a raw server, between a caller and that server. */
async function withRelay(
  run: (fixture: {
    relays: RelayServer;
    ended: EndedRelay[];
    caller: Socket;
    server: Socket;
    /** The caller's connection at the relaying host. */
    atRelay: Socket;
    /** What the relaying host waits for before it stops. */
    countWork: () => number;
  }) => Promise<void>,
  callerSocket = new Socket(),
  isFramed = false,
): Promise<void> {
  const listeners = [createServer(), createServer()];
  listeners.forEach(listener => listener.listen(0, '127.0.0.1'));
  await Promise.all(listeners.map(listener => once(listener, 'listening')));
  const [relayPort = 0, serverPort = 0] = listeners.map(
    listener => (listener.address() as AddressInfo).port,
  );
  const [relayAccepted, serverAccepted] = listeners.map(
    listener => once(listener, 'connection') as Promise<[Socket]>,
  );
  const ended: EndedRelay[] = [];
  let openWork = 0;
  const relays = new RelayServer({
    ...{clock: CLOCK, onEnded: relay => ended.push(relay)},
    beginWork: () => {
      openWork += 1;
      return {end: () => (openWork -= 1)};
    },
    mayRelay: () => true,
    listServers: () => [{ip: '127.0.0.1', port: serverPort}],
    openDirect: address => connect(address),
  });
  const caller = await connect({port: relayPort}, callerSocket);
  const decision = await relays.open(`127.0.0.1:${serverPort}`);
  const [atRelay] = await relayAccepted!;
  if (decision.status === 'open') decision.join(atRelay, isFramed);
  if (callerSocket instanceof RelayedSocket) {
    callerSocket.beginRelay(isFramed, Buffer.alloc(0));
  }
  const [server] = await serverAccepted!;
  [caller, server].forEach(socket => socket.on('error', () => undefined));
  try {
    await run({
      ...{relays, ended, caller, server, atRelay},
      countWork: () => openWork,
    });
  } finally {
    [caller, server].forEach(socket => socket.destroy());
    listeners.forEach(listener => listener.close());
  }
}

async function waitForEnd(ended: readonly EndedRelay[]): Promise<void> {
  while (ended.length === 0) await sleep(CLOCK, 1);
}

test('bytes pass both ways, and an end is passed on as an end', async () => {
  await withRelay(async ({relays, ended, caller, server}) => {
    assert.is(relays.openRelays, 1);
    caller.write('ask');
    assert.is(String((await once(server, 'data'))[0]), 'ask');
    server.end('answer');
    assert.is(String((await once(caller, 'data'))[0]), 'answer');
    await once(caller, 'end');
    await waitForEnd(ended);
    assert.equal(
      ended.map(({endedBy, bytes}) => ({endedBy, bytes})),
      [{endedBy: 'server', bytes: 'answer'.length}],
    );
  });
});

// Guards against a server crash that looks like the end of a response.
test('a reset of the server reaches the caller as a reset', async () => {
  await withRelay(async ({ended, caller, server}) => {
    const failed = once(caller, 'error');
    server.resetAndDestroy();
    const [cause] = (await failed) as [NodeJS.ErrnoException];
    assert.is(cause.code, 'ECONNRESET');
    await waitForEnd(ended);
    assert.is(ended[0]?.endedBy, 'reset');
  });
});

// Guards against a server crash that looks like the end of a response because the reset
// comes in the same poll as the last bytes.
test('a reset right behind the last bytes reaches the caller as a reset', async () => {
  for (let plays = 0; plays < 20; plays += 1) {
    await withRelay(async ({caller, server}) => {
      caller.resume();
      const ended = Promise.race([
        once(caller, 'error').then(() => 'reset'),
        once(caller, 'end').then(() => 'end'),
      ]);
      server.write('HTTP/1.1 200 OK\r\n\r\n');
      server.resetAndDestroy();
      assert.is(await ended, 'reset');
    }, new BackendSocket());
  }
});

// Guards against a server that goes on with a request that was given up on.
test('a reset of the caller reaches the server', async () => {
  await withRelay(async ({relays, ended, caller, server}) => {
    const failed = once(server, 'error');
    caller.resetAndDestroy();
    const [cause] = (await failed) as [NodeJS.ErrnoException];
    assert.is(cause.code, 'ECONNRESET');
    assert.is(relays.openRelays, 0);
    assert.is(ended[0]?.endedBy, 'requester');
  });
});

const CALL: BackendCall = {
  address: {ip: '127.0.0.1', port: OTHER_PORT},
  ...{method: 'GET', path: '/', headers: [], body: null},
  ...{maxIdleMs: 1_000, connectTimeoutMs: 1_000},
};

const WHOLE_HEAD = 'HTTP/1.1 200 OK\r\n';
const BODY = 'the body';

/** How a response without a length or chunks ends for the host that requested it. */
async function collectUnframed(
  end: (sockets: {server: Socket; atRelay: Socket}) => void,
  isFramed: boolean,
): Promise<string> {
  let result = '';
  const play = async (terms: {
    caller: Socket;
    server: Socket;
    atRelay: Socket;
  }) => {
    const connections = new BackendConnections({
      ...{clock: CLOCK, idleLimitMs: 1_000},
    });
    connections.useDialer({
      connect: () =>
        Promise.resolve({socket: terms.caller, relayedBy: 'relay'}),
    });
    const collected = collectAnswer(
      connections,
      {...CALL, maxIdleMs: 0},
      {timeoutMs: 1_000},
      CLOCK,
    );
    await once(terms.server, 'data');
    terms.server.write(`${WHOLE_HEAD}\r\n${BODY}`);
    await sleep(CLOCK, PASS_MS);
    end(terms);
    result = await collected.then(
      ({body}) => String(body),
      (error: TypedError) => (isRelayLost(error) ? 'relay lost' : 'reset'),
    );
    connections.stop();
  };
  await withRelay(play, new RelayedSocket(), isFramed);
  return result;
}

const FRAMINGS = [
  {isFramed: true, release: 'this release', resetSays: 'relay lost'},
  // Only bytes are passed on, so that the server may have sent the reset.
  {isFramed: false, release: 'the previous release', resetSays: 'reset'},
] as const;

FRAMINGS.forEach(({isFramed, release, resetSays}) => {
  // Guards against a response without a length that looks complete because the process of
  // the relaying host has ended.
  test(`a lost relaying host of ${release} ends no response as complete`, async () => {
    const ends = await Promise.all(
      [
        ({atRelay}: {atRelay: Socket}) => atRelay.destroy(),
        ({atRelay}: {atRelay: Socket}) => atRelay.resetAndDestroy(),
        ({atRelay}: {atRelay: Socket}) => atRelay.end(),
      ].map(end => collectUnframed(end, isFramed)),
    );
    assert.equal(ends, ['relay lost', resetSays, 'relay lost']);
  });

  // Guards against a crash of the server that looks like the end of its response.
  test(`a reset that a host of ${release} relays ends no response as complete`, async () => {
    const result = await collectUnframed(
      ({server}) => server.resetAndDestroy(),
      isFramed,
    );
    assert.is(result, 'reset');
  });
});

// Guards against responses without a length that fail though the server has ended them.
test('a response ends as complete by the statement that its server has ended', async () => {
  assert.is(await collectUnframed(({server}) => server.end(), true), BODY);
});

// Guards against a planned stop of a relaying host that cuts responses of other hosts, and one
// that waits for connections that no call uses.
test('a relaying host that stops waits for calls and not for idle connections', () =>
  withRelay(
    async ({relays, caller, server, countWork}) => {
      const connections = new BackendConnections({
        ...{clock: CLOCK, idleLimitMs: 5_000},
      });
      connections.useDialer({
        connect: () => Promise.resolve({socket: caller, relayedBy: 'relay'}),
      });
      const send = () =>
        collectAnswer(connections, CALL, {timeoutMs: 1_000}, CLOCK);
      const first = send();
      await once(server, 'data');
      relays.retireAll();
      await sleep(CLOCK, PASS_MS);
      assert.is(countWork(), 1);
      server.write(
        `${WHOLE_HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
      );
      assert.is(String((await first).body), BODY);
      while (countWork() > 0) await sleep(CLOCK, 1);
      connections.stop();
    },
    new RelayedSocket(),
    true,
  ));

// Guards against a stop that waits until the other host closes a connection that it keeps.
test('an idle connection is closed once its relaying host is about to stop', () =>
  withRelay(
    async ({relays, caller, server, countWork}) => {
      const connections = new BackendConnections({
        ...{clock: CLOCK, idleLimitMs: 5_000},
      });
      connections.useDialer({
        connect: () => Promise.resolve({socket: caller, relayedBy: 'relay'}),
      });
      const first = collectAnswer(connections, CALL, {timeoutMs: 1_000}, CLOCK);
      await once(server, 'data');
      server.write(
        `${WHOLE_HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
      );
      await first;
      await sleep(CLOCK, PASS_MS);
      assert.is(countWork(), 1);
      relays.retireAll();
      while (countWork() > 0) await sleep(CLOCK, 1);
      connections.stop();
    },
    new RelayedSocket(),
    true,
  ));

// Guards against a connection to a server that is kept for a host that has left.
test('a caller that left before the server was reached keeps nothing open', async () => {
  const server = new Socket();
  const relays = new RelayServer({
    ...{clock: CLOCK, onEnded: () => undefined, beginWork: () => work},
    mayRelay: () => true,
    listServers: () => [{ip: '127.0.0.1', port: OTHER_PORT}],
    openDirect: () => Promise.resolve(server),
  });
  const decision = await relays.open(`127.0.0.1:${OTHER_PORT}`);
  if (decision.status === 'open') decision.join(new Socket().destroy(), true);
  await once(server, 'close');
  assert.is(relays.openRelays, 0);
});

// Guards against a way through a node to other processes than servers.
test('only registered servers are relayed to, and none by a host that is cut off or stops', async () => {
  const makeRelays = (mayRelay: boolean) =>
    new RelayServer({
      ...{clock: CLOCK, onEnded: () => undefined, beginWork: () => work},
      mayRelay: () => mayRelay,
      listServers: () => [{ip: '127.0.0.1', port: OTHER_PORT}],
      openDirect: () => Promise.reject(new Error('refused')),
    });
  assert.equal(await makeRelays(true).open('127.0.0.1:22'), {
    ...{status: 'refused', reason: 'unknown-server'},
  });
  const known = `127.0.0.1:${OTHER_PORT}`;
  assert.equal(await makeRelays(false).open(known), {
    ...{status: 'refused', reason: 'unavailable'},
  });
  assert.equal(await makeRelays(true).open(known), {status: 'unreachable'});
});

test.run();
