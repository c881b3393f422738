import {once} from 'node:events';
import {type AddressInfo, type Socket, createServer} from 'node:net';
import {SystemClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BackendConnections} from './backend_connections.js';

const test = suite('sent calls');

const MAX_TURNS = 24;
const SETTLE_MS = 25;

function turn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Aborts a call some turns of the event loop after it was begun. */
async function abortAfter(
  turns: number,
  isReused: boolean,
  bodyBytes: number,
): Promise<{isSent: boolean; isStillSent: boolean; received: number}> {
  let received = 0;
  let mayAnswer = isReused;
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      if (!mayAnswer) {
        received += bytes.length;
        return;
      }
      mayAnswer = false;
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const connections = new BackendConnections({
    ...{clock: new SystemClock(), idleLimitMs: 4_000},
  });
  const send = (body: Uint8Array | null, onEnd: () => void) =>
    connections.send(
      {
        ...{address: {ip: '127.0.0.1', port}, method: 'POST', path: '/a'},
        ...{headers: ['Host', 'h'], body, maxIdleMs: Infinity},
        connectTimeoutMs: 500,
      },
      {
        ...{onHead: () => undefined, onData: () => true, onEnd},
        onFailure: () => undefined,
      },
    );
  if (isReused) {
    await new Promise<void>(resolve => send(null, resolve));
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  }
  const handle = send(Buffer.alloc(bodyBytes), () => undefined);
  for (let at = 0; at < turns; at += 1) await turn();
  const {isSent} = handle;
  handle.abort();
  const isStillSent = handle.isSent;
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  connections.stop();
  sockets.forEach(socket => socket.destroy());
  server.close();
  return {isSent, isStillSent, received};
}

// Guards against a call that counts as not sent though its server received a part of it.
[false, true].forEach(isReused =>
  test(`a call that is ${isReused ? 'sent again on' : 'new to'} a connection`, async () => {
    const seen = new Set<boolean>();
    for (const bodyBytes of [10, 8_000_000]) {
      for (let turns = 0; turns < MAX_TURNS; turns += 1) {
        const result = await abortAfter(turns, isReused, bodyBytes);
        seen.add(result.isSent);
        const text = JSON.stringify({turns, bodyBytes, ...result});
        assert.ok(result.isSent || result.received === 0, text);
      }
    }
    assert.ok(seen.has(true));
  }),
);

test.run();
