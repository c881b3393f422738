/** Responses that break the protocol or its limits. */
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {SystemClock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BackendConnections} from './backend_connections.js';
import {isMalformedResponse} from './malformed_response.js';

const test = suite('malformed responses');

const BLOCK = 'x'.repeat(65_536);
interface Received {
  statuses: readonly number[];
  /** Null for a response that is complete. */
  error: TypedError | null;
}

/** Sends a call to a server that responds with some text, and then more of a block. */
async function exchange(text: string, block = ''): Promise<Received> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    const writeOn = () => {
      while (block !== '' && !socket.destroyed && socket.write(block));
    };
    socket.once('data', () => {
      socket.write(text);
      socket.on('drain', writeOn);
      writeOn();
      if (text.includes('Connection: close') && block === '') socket.end();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const clock = new SystemClock();
  const connections = new BackendConnections({clock, idleLimitMs: 4_000});
  const statuses: number[] = [];
  const error = await new Promise<TypedError | null>(resolve =>
    connections.send(
      {
        ...{address: {ip: '127.0.0.1', port}, method: 'GET', path: '/'},
        ...{headers: ['Host', 'h'], body: null, maxIdleMs: 1_000},
        connectTimeoutMs: 1_000,
        identity: {isNamed: true, classify: () => 'own'},
      },
      {
        onHead: ({status}) => statuses.push(status),
        onData: () => true,
        onEnd: () => resolve(null),
        onFailure: resolve,
      },
    ),
  );
  connections.stop();
  server.close();
  return {statuses, error};
}

function expectMalformed({error}: Received, seen: string): void {
  assert.is(error?.kind, 'backend-failed', seen);
  assert.is(error?.run, 'unknown', seen);
  assert.ok(error && isMalformedResponse(error), seen);
}

// Guards against a call that waits as long as a server sends informational responses.
test('informational responses are limited', async () => {
  const informational = 'HTTP/1.1 102 Processing\r\n\r\n';
  const response = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
  const received = await exchange(informational.repeat(16) + response);
  assert.equal(received, {statuses: [200], error: null});
  expectMalformed(await exchange('', informational), 'without end');
});

// Guards against a body without end, which only its caller would stop.
test('a body is limited', async () => {
  const received = await exchange('HTTP/1.1 200 OK\r\n\r\n', BLOCK);
  assert.equal(received.statuses, [200]);
  expectMalformed(received, 'without end');
});

test.run();
