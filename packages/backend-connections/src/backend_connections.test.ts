import {once} from 'node:events';
import {
  type AddressInfo,
  type Server,
  type Socket,
  createServer,
} from 'node:net';
import {SystemClock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type AnswerReceiver, type BackendCall} from './backend_call.js';
import {BackendConnections} from './backend_connections.js';

const test = suite('connections to backend servers');

const HEAD = 'HTTP/1.1 200 OK\r\n';
const WHOLE = `${HEAD}Content-Length: 2\r\n\r\nok`;

/** What became of a call. */
interface Result {
  body: string;
  /** Null for a whole answer. */
  error: TypedError | null;
}

/** A server whose connections a test answers byte by byte. */
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
  change: Partial<BackendCall> = {},
): BackendCall {
  return {
    address: {ip: '127.0.0.1', port},
    method: 'POST',
    path: '/a',
    headers: ['Host', 'h'],
    body: Buffer.from('body'),
    maxIdleMs: Infinity,
    connectTimeoutMs: 2_000,
    ...change,
  };
}

function send(
  connections: BackendConnections,
  call: BackendCall,
): Promise<Result> {
  return new Promise(resolve => {
    const pieces: Uint8Array[] = [];
    const finish = (error: TypedError | null) =>
      resolve({body: Buffer.concat(pieces).toString(), error});
    const receiver: AnswerReceiver = {
      onHead: () => undefined,
      onData: piece => {
        pieces.push(piece);
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

/** Lets a freed connection come back to the idle ones. */
function settle(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 20));
}

/*
 * A member loads a map tile; its server crashes halfway through an answer that
 * has no length. The member would see half a tile that claims to be whole,
 * since the HTTP library takes the reset for the end of the answer.
 */
test('an answer without a length that is reset is not whole', async () => {
  await withServer(
    socket => {
      socket.write(`${HEAD}\r\nhalf`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
    async (connections, {port}) => {
      const {body, error} = await send(connections, makeCall(port));
      assert.is(body, 'half');
      assert.is(error?.run, 'unknown');
    },
  );
});

/*
 * The same, with the reset right behind the last bytes: a busy node finds both
 * at once, and the runtime then reports the end of the stream in place of the
 * reset. A push ping cut short would count as delivered.
 */
test('a reset that comes with the bytes is no end either', async () => {
  await withServer(
    socket => {
      socket.write(`${HEAD}\r\nhalf`);
      setImmediate(() => socket.resetAndDestroy());
    },
    async (connections, {port}) => {
      const {error} = await send(connections, makeCall(port));
      assert.is(error?.run, 'unknown');
    },
  );
});

test('an answer without a length ends with its connection', async () => {
  await withServer(
    socket => socket.end(`${HEAD}\r\nall of it`),
    async (connections, {port}) => {
      const {body, error} = await send(connections, makeCall(port));
      assert.is(body, 'all of it');
      assert.is(error, null);
    },
  );
});

test('a kept connection carries the next call', async () => {
  await withServer(
    socket => socket.write(WHOLE),
    async (connections, {port, connectionCount}) => {
      await send(connections, makeCall(port));
      await settle();
      await send(connections, makeCall(port));
      assert.is(connectionCount(), 1);
    },
  );
});

/*
 * A hamper is ordered on a kept connection that its server closes at the same
 * moment. Nobody can tell whether the order was read, so it must not be said
 * that it was not, and it must not be sent again.
 */
test('a call on a connection that closes may have run', async () => {
  await withServer(
    (socket, requestNumber) => {
      if (requestNumber === 1) socket.write(WHOLE);
      else socket.resetAndDestroy();
    },
    async (connections, {port, connectionCount}) => {
      await send(connections, makeCall(port));
      await settle();
      const {error} = await send(connections, makeCall(port));
      assert.is(error?.run, 'unknown');
      assert.is(connectionCount(), 1);
    },
  );
});

test('a call that finds nobody has not run', async () => {
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

/*
 * A faulty server answers twice. The second answer waits on the kept
 * connection and would be taken for the answer to somebody else's request.
 */
test('a connection with bytes that nobody asked for is not used again', async () => {
  await withServer(
    (socket, requestNumber) =>
      socket.write(requestNumber === 1 ? WHOLE + WHOLE : WHOLE),
    async (connections, {port, connectionCount}) => {
      await send(connections, makeCall(port));
      await settle();
      const {body, error} = await send(connections, makeCall(port));
      assert.is(error, null);
      assert.is(body, 'ok');
      assert.is(connectionCount(), 2);
    },
  );
});

test('a connection is not used when the server may be closing it', async () => {
  await withServer(
    socket =>
      socket.write(
        `${HEAD}Keep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok`,
      ),
    async (connections, {port, connectionCount}) => {
      await send(connections, makeCall(port));
      await settle();
      await send(connections, makeCall(port));
      assert.is(connectionCount(), 2);
    },
  );
});

test('a call that must not run twice passes over a connection long idle', async () => {
  await withServer(
    socket => socket.write(WHOLE),
    async (connections, {port, connectionCount}) => {
      await send(connections, makeCall(port));
      await settle();
      await send(connections, makeCall(port, {maxIdleMs: 0}));
      assert.is(connectionCount(), 2);
    },
  );
});

test.run();
