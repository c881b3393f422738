import {once} from 'node:events';
import {type AddressInfo, type Socket, createServer} from 'node:net';
import {type RunOutcome, type TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {exchangeOnce} from './index.js';

const BODY = Buffer.alloc(4 * 1024 * 1024, 'x');
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

type Behaviour = (socket: Socket, bytesRead: number) => void;

const atOnce: Behaviour = socket => socket.resetAndDestroy();
const amid: Behaviour = (socket, bytesRead) => {
  if (bytesRead > 0) socket.resetAndDestroy();
};
const afterAll: Behaviour = (socket, bytesRead) => {
  if (bytesRead >= BODY.length) socket.resetAndDestroy();
};
const amidAnswer: Behaviour = (socket, bytesRead) => {
  if (bytesRead < BODY.length) return;
  socket.write(ANSWER.slice(0, -1), () => socket.resetAndDestroy());
};
const answer: Behaviour = (socket, bytesRead) => {
  if (bytesRead >= BODY.length) socket.end(ANSWER);
};

/** A server that counts what reaches it. */
async function createServerThat(behave: Behaviour) {
  const seen = {connections: 0, bytes: 0};
  const server = createServer(socket => {
    seen.connections += 1;
    let bytesRead = 0;
    socket.on('error', () => undefined);
    socket.on('data', data => {
      bytesRead += data.length;
      seen.bytes += data.length;
      behave(socket, bytesRead);
    });
    behave(socket, 0);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {seen, server, baseUrl: `http://127.0.0.1:${port}`};
}

/** Sends one request; resolves with what is known of its run. */
async function send(
  baseUrl: string,
  extra: {signal?: AbortSignal; maxAnswerBytes?: number} = {},
): Promise<RunOutcome | 'answered' | undefined> {
  try {
    await exchangeOnce({
      baseUrl,
      path: '/calls/ping',
      method: 'POST',
      headers: {'content-type': 'text/plain'},
      body: BODY,
      connectTimeoutMs: 1_000,
      maxAnswerBytes: 1_000,
      ...extra,
    });
    return 'answered';
  } catch (thrown) {
    return (thrown as TypedError).run;
  }
}

const test = suite('own connection');

// A member gets one ping twice: a library saw its connection reset and sent
// the request again on a new one, although the first had been read.
[
  {name: 'during the request', behave: amid},
  {name: 'after the request', behave: afterAll},
  {name: 'during the answer', behave: amidAnswer},
].forEach(({name, behave}) =>
  test(`a reset ${name} is unknown, and nothing sends it again`, async () => {
    const {seen, server, baseUrl} = await createServerThat(behave);
    assert.is(await send(baseUrl), 'unknown');
    assert.is(seen.connections, 1);
    server.close();
  }),
);

test('a reset before the request is not sent again either', async () => {
  // A library that still holds the unsent request opens a second connection
  // for it, while its first is taken for lost and given to another server.
  const {seen, server, baseUrl} = await createServerThat(atOnce);
  const runs = await Promise.all(Array.from({length: 40}, () => send(baseUrl)));
  assert.ok(runs.every(run => run === 'not-run' || run === 'unknown'));
  assert.is(seen.connections, 40);
  server.close();
});

test('no connection, or no time left, is not-run', async () => {
  const {seen, server, baseUrl} = await createServerThat(answer);
  assert.is(await send(baseUrl, {signal: AbortSignal.abort()}), 'not-run');
  const abort = new AbortController();
  const sent = send(baseUrl, {signal: abort.signal});
  abort.abort();
  assert.is(await sent, 'not-run');
  server.close();
  await once(server, 'close');
  assert.is(await send(baseUrl), 'not-run');
  assert.is(seen.bytes, 0);
});

test('time that is over after the request was begun is unknown', async () => {
  const abort = new AbortController();
  const {server, baseUrl} = await createServerThat((_socket, bytesRead) => {
    if (bytesRead > 0) abort.abort();
  });
  assert.is(await send(baseUrl, {signal: abort.signal}), 'unknown');
  server.close();
});

test('an answer over its limit says that it ran', async () => {
  const {server, baseUrl} = await createServerThat(answer);
  assert.is(await send(baseUrl), 'answered');
  assert.is(await send(baseUrl, {maxAnswerBytes: 1}), 'ran');
  server.close();
});

test.run();
