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
const INVALID_STATUSES = [
  ...['000', '099', '600', '999', '1000', '2x0', '-200', '+200', '20', 'abc'],
  ...['', '２００'],
];
const BODIES: readonly (readonly [string, string])[] = [
  ['a length', 'Content-Length: 2\r\n\r\nok'],
  ['chunks', 'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'],
  ['neither', 'Connection: close\r\n\r\nok'],
  ['no body', 'Content-Length: 0\r\n\r\n'],
];

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

// Guards against a caller that receives a status that is none, and against a call that waits
// for another response after it.
test('a status that is none fails the call, which may have run', async () => {
  for (const status of INVALID_STATUSES) {
    for (const [name, body] of BODIES) {
      const received = await exchange(`HTTP/1.1 ${status} Odd\r\n${body}`);
      const seen = `${status} with ${name}: ${JSON.stringify(received)}`;
      assert.equal(received.statuses, [], seen);
      expectMalformed(received, seen);
    }
  }
});

test('statuses that are not known are passed on', async () => {
  for (const status of [200, 299, 418, 599]) {
    const text = `HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`;
    const received = await exchange(text);
    assert.equal(received, {statuses: [status], error: null});
  }
});

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
