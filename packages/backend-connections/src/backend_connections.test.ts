import {once} from 'node:events';
import {
  type AddressInfo,
  type Server,
  type Socket,
  createServer,
} from 'node:net';
import {SystemClock} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type AnswerReceiver,
  type BackendCall,
  type ResponseIdentity,
} from './backend_call.js';
import {openSocket} from './backend_connection.js';
import {BackendConnections} from './backend_connections.js';
import {isForeignResponse} from './foreign_response.js';

const test = suite('connections to backend servers');

const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const FULL_RESPONSE = `${STATUS_LINE}Content-Length: 2\r\n\r\nok`;

interface CallResult {
  body: string;
  /** Null for a complete response. */
  error: TypedError | null;
}

/** A TCP server that lets a test write raw responses. */
interface RawServer {
  port: number;
  connectionCount: () => number;
  close: () => void;
}

async function startServer(
  onRequest: (socket: Socket, requestNumber: number, text: string) => void,
): Promise<RawServer> {
  let requests = 0;
  let connections = 0;
  const sockets = new Set<Socket>();
  const server: Server = createServer(socket => {
    connections += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      requests += 1;
      onRequest(socket, requests, bytes.toString('latin1'));
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    port: (server.address() as AddressInfo).port,
    connectionCount: () => connections,
    close: () => {
      sockets.forEach(socket => socket.destroy());
      server.close();
    },
  };
}

function makeCall(
  port: number,
  overrides: Partial<BackendCall> = {},
): BackendCall {
  return {
    address: {ip: '127.0.0.1', port},
    method: 'POST',
    path: '/a',
    headers: ['Host', 'h'],
    body: Buffer.from('body'),
    maxIdleMs: Infinity,
    connectTimeoutMs: 2_000,
    ...overrides,
  };
}

function send(
  connections: BackendConnections,
  call: BackendCall,
  heads: number[] = [],
): Promise<CallResult> {
  return new Promise(resolve => {
    const chunks: Uint8Array[] = [];
    const finish = (error: TypedError | null) =>
      resolve({body: Buffer.concat(chunks).toString(), error});
    const receiver: AnswerReceiver = {
      onHead: ({status}) => heads.push(status),
      onData: chunk => {
        chunks.push(chunk);
        return true;
      },
      onEnd: () => finish(null),
      onFailure: finish,
    };
    connections.send(call, receiver);
  });
}

async function withServer(
  onRequest: (socket: Socket, requestNumber: number, text: string) => void,
  body: (connections: BackendConnections, server: RawServer) => Promise<void>,
): Promise<void> {
  const server = await startServer(onRequest);
  const connections = new BackendConnections({
    clock: new SystemClock(),
    idleLimitMs: 4_000,
  });
  try {
    await body(connections, server);
  } finally {
    connections.stop();
    server.close();
  }
}

/** Waits until a released connection is idle again. */
function waitForRelease(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 20));
}

// Guards against a response without a length that is cut off by a reset and
// reported as complete.
test('fails a response without a length on a connection reset', async () => {
  await withServer(
    socket => {
      socket.write(`${STATUS_LINE}\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
    async (connections, {port}) => {
      const {body, error} = await send(connections, makeCall(port));
      assert.is(body, 'half');
      assert.is(error?.run, 'unknown');
    },
  );
});

// Guards against a reset reported as the end of the stream when the reset comes
// in the same poll as the last bytes.
test('fails a response when a reset follows the last bytes', async () => {
  await withServer(
    socket => {
      socket.write(`${STATUS_LINE}\r\nhalf`);
      setImmediate(() => socket.resetAndDestroy());
    },
    async (connections, {port}) => {
      const {error} = await send(connections, makeCall(port));
      assert.is(error?.run, 'unknown');
    },
  );
});

test('ends a response without a length when its connection ends', async () => {
  await withServer(
    socket => socket.end(`${STATUS_LINE}\r\nall of it`),
    async (connections, {port}) => {
      const {body, error} = await send(connections, makeCall(port));
      assert.is(body, 'all of it');
      assert.is(error, null);
    },
  );
});

test('reuses an idle connection for the next call', async () => {
  await withServer(
    socket => socket.write(FULL_RESPONSE),
    async (connections, {port, connectionCount}) => {
      await send(connections, makeCall(port));
      await waitForRelease();
      await send(connections, makeCall(port));
      assert.is(connectionCount(), 1);
    },
  );
});

// Guards against a retry, or a `not-run` error, for a call that was written to a
// connection while its server closed it.
test('reports an unknown run when a reused connection closes', async () => {
  await withServer(
    (socket, requestNumber) => {
      if (requestNumber === 1) socket.write(FULL_RESPONSE);
      else socket.resetAndDestroy();
    },
    async (connections, {port, connectionCount}) => {
      await send(connections, makeCall(port));
      await waitForRelease();
      const {error} = await send(connections, makeCall(port));
      assert.is(error?.run, 'unknown');
      assert.is(connectionCount(), 1);
    },
  );
});

test('reports not-run when no server accepts the connection', async () => {
  const server = await startServer(() => undefined);
  server.close();
  const connections = new BackendConnections({
    clock: new SystemClock(),
    idleLimitMs: 4_000,
  });
  const {error} = await send(connections, makeCall(server.port));
  assert.is(error?.run, 'not-run');
  assert.is(error?.kind, 'backend-unreachable');
});

// Guards against a call that counts as one that may have run although nothing was sent.
test('reports not-run for an address that no connection can be made to', async () => {
  const clock = new SystemClock();
  for (const port of [-1, 1.5, 65_536, 99_999, NaN, Infinity]) {
    const address = {ip: '127.0.0.1', port};
    const outcome = await openSocket(clock, address, 100).catch(toTypedError);
    assert.instance(outcome, TypedError, `${port}`);
    assert.is((outcome as TypedError).kind, 'backend-unreachable', `${port}`);
    assert.is((outcome as TypedError).run, 'not-run', `${port}`);
  }
});

// Guards against a surplus response of a faulty server being matched to the next
// call on the connection.
test('does not reuse a connection that has unexpected bytes', async () => {
  await withServer(
    (socket, requestNumber) =>
      socket.write(
        requestNumber === 1 ? FULL_RESPONSE + FULL_RESPONSE : FULL_RESPONSE,
      ),
    async (connections, {port, connectionCount}) => {
      await send(connections, makeCall(port));
      await waitForRelease();
      const {body, error} = await send(connections, makeCall(port));
      assert.is(error, null);
      assert.is(body, 'ok');
      assert.is(connectionCount(), 2);
    },
  );
});

const NAMED_REFUSAL =
  'HTTP/1.1 503 No\r\nFor: other\r\nContent-Length: 0\r\n\r\n';
const BARE_REFUSAL = 'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n';

/** Reads the call that a response belongs to from its header `For`. */
function makeIdentity(name: string, isNamed = true): ResponseIdentity {
  return {
    isNamed,
    classify: ({status, headers}) => {
      const at = headers.indexOf('For');
      if (at < 0) return status === 503 ? 'ambiguous' : 'own';
      return headers[at + 1] === name ? 'own' : 'foreign';
    },
  };
}

// Guards against status or headers of another call's response that are acted on, and
// against the own response, which follows, being matched to the next call.
test('fails a call that receives the response to another', async () => {
  await withServer(
    (socket, requestNumber) =>
      socket.write(
        requestNumber === 1 ? NAMED_REFUSAL + FULL_RESPONSE : FULL_RESPONSE,
      ),
    async (connections, {port, connectionCount}) => {
      const call = makeCall(port, {identity: makeIdentity('own')});
      const heads: number[] = [];
      const {body, error} = await send(connections, call, heads);
      assert.equal({heads, body}, {heads: [], body: ''});
      assert.is(error?.run, 'unknown');
      assert.ok(error && isForeignResponse(error));
      assert.is((await send(connections, call)).body, 'ok');
      assert.is(connectionCount(), 2);
    },
  );
});

// Guards against a copy of a response without an id that is taken for that to a later call.
test('no call is sent on a connection after an ambiguous response', async () => {
  await withServer(
    socket => socket.write(BARE_REFUSAL),
    async (connections, {port, connectionCount}) => {
      const sendAs = async (name: string) => {
        const heads: number[] = [];
        const identity = makeIdentity(name);
        await send(connections, makeCall(port, {identity}), heads);
        await waitForRelease();
        return {heads, opened: connectionCount()};
      };
      assert.equal(await sendAs('first'), {heads: [503], opened: 1});
      assert.equal(await sendAs('second'), {heads: [503], opened: 2});
      assert.equal(await sendAs('third'), {heads: [503], opened: 3});
      const address = {ip: '127.0.0.1', port};
      assert.is(connections.countConnections(address), 0);
    },
  );
});

// Guards against the late response to the first attempt of a call, or a copy of its refusal,
// that is taken for the response to its second one.
test('no call is sent again on its connection', async () => {
  await withServer(
    socket => socket.write(FULL_RESPONSE),
    async (connections, {port, connectionCount}) => {
      const call = makeCall(port, {identity: makeIdentity('own')});
      await send(connections, call);
      await waitForRelease();
      await send(connections, call);
      await waitForRelease();
      assert.is(connectionCount(), 2);
      const address = {ip: '127.0.0.1', port};
      assert.is(connections.countConnections(address), 1);
    },
  );
});

// Guards against a copy of a report that is taken for a newer one, or for the response to an
// order: neither bears an id.
test('a call without an id gets a connection that has carried none', async () => {
  await withServer(
    socket => socket.write(FULL_RESPONSE),
    async (connections, {port, connectionCount}) => {
      const sendAs = async (isNamed: boolean) => {
        const identity = makeIdentity('own', isNamed);
        await send(connections, makeCall(port, {identity}));
        await waitForRelease();
        return connectionCount();
      };
      assert.is(await sendAs(true), 1);
      assert.is(await sendAs(false), 1);
      assert.is(await sendAs(true), 1);
      assert.is(await sendAs(false), 2);
    },
  );
});

test('does not reuse a connection after its keep-alive timeout', async () => {
  await withServer(
    socket =>
      socket.write(
        `${STATUS_LINE}Keep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok`,
      ),
    async (connections, {port, connectionCount}) => {
      await send(connections, makeCall(port));
      await waitForRelease();
      await send(connections, makeCall(port));
      assert.is(connectionCount(), 2);
    },
  );
});

test('does not reuse a connection that was idle for over maxIdleMs', async () => {
  await withServer(
    socket => socket.write(FULL_RESPONSE),
    async (connections, {port, connectionCount}) => {
      await send(connections, makeCall(port));
      await waitForRelease();
      await send(connections, makeCall(port, {maxIdleMs: 0}));
      assert.is(connectionCount(), 2);
    },
  );
});

// Guards against a request that the network holds up, is given up on, and reaches the
// server once the network has healed.
test('a call that is aborted resets its connection', async () => {
  const closed = new Promise<string>(resolve => {
    void withServer(
      socket => {
        socket.once('error', (cause: NodeJS.ErrnoException) =>
          resolve(cause.code ?? ''),
        );
        socket.once('end', () => resolve('end'));
      },
      async (connections, {port}) => {
        const handle = connections.send(makeCall(port), {
          onHead: () => undefined,
          onData: () => true,
          onEnd: () => undefined,
          onFailure: () => undefined,
        });
        await new Promise(done => setTimeout(done, 100));
        handle.abort();
        await closed;
      },
    );
  });
  assert.is(await closed, 'ECONNRESET');
});

test.run();
