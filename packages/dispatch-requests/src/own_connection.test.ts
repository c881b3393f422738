import {once} from 'node:events';
import {type AddressInfo, type Socket, createServer} from 'node:net';
import {createServer as createTlsServer} from 'node:tls';
import {type RunOutcome, TypedError} from '@mimosatack/errors';
import {generate} from 'selfsigned';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BackendPools, exchangeOnce} from './index.js';

const BODY = Buffer.alloc(4 * 1024 * 1024, 'x');
const RESPONSE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

type Behaviour = (socket: Socket, bytesRead: number) => void;

const resetOnConnect: Behaviour = socket => socket.resetAndDestroy();
const resetDuringRequest: Behaviour = (socket, bytesRead) => {
  if (bytesRead > 0) socket.resetAndDestroy();
};
const resetAfterRequest: Behaviour = (socket, bytesRead) => {
  if (bytesRead >= BODY.length) socket.resetAndDestroy();
};
const resetDuringResponse: Behaviour = (socket, bytesRead) => {
  if (bytesRead < BODY.length) return;
  socket.write(RESPONSE.slice(0, -1), () => socket.resetAndDestroy());
};
const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';
/** The reset may come with the last bytes of the response, or after them. */
const RESET_DELAY_MS = 20;

/** Only the end of its connection delimits the response. */
function resetBehind(text: string, delayMs: number): Behaviour {
  return (socket, bytesRead) => {
    if (bytesRead < BODY.length) return;
    socket.write(text, () =>
      setTimeout(() => socket.resetAndDestroy(), delayMs),
    );
  };
}

const respond: Behaviour = (socket, bytesRead) => {
  if (bytesRead >= BODY.length) socket.end(RESPONSE);
};

/** A server that counts the connections and bytes that it receives. */
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

/** Sends one request; resolves with its run outcome. */
async function send(
  baseUrl: string,
  extra: {signal?: AbortSignal; maxAnswerBytes?: number; body?: Buffer} = {},
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

/** Sends one request on a pooled connection and reads its response. */
async function sendPooled(
  pools: BackendPools,
  baseUrl: string,
  body: Buffer,
): Promise<RunOutcome | 'answered' | undefined> {
  try {
    const {signal} = new AbortController();
    const spec = {baseUrl, path: '/a', headers: {}, body, signal};
    const response = await pools.send(spec);
    await response.body.text();
    return 'answered';
  } catch (thrown) {
    // A body that breaks off rejects with the error of the HTTP client.
    return thrown instanceof TypedError ? thrown.run : 'unknown';
  }
}

const test = suite('own connection');

// Guards against an HTTP client that resends a request after a reset.
[
  {name: 'during the request', behave: resetDuringRequest},
  {name: 'after the request', behave: resetAfterRequest},
  {name: 'during the response', behave: resetDuringResponse},
].forEach(({name, behave}) =>
  test(`a reset ${name} is unknown, and the request is not resent`, async () => {
    const {seen, server, baseUrl} = await createServerThat(behave);
    assert.is(await send(baseUrl), 'unknown');
    assert.is(seen.connections, 1);
    server.close();
  }),
);

// Guards against a response that a crash has cut, and that counts as complete since
// it names no length: the caller would get a success with an empty or short body.
[
  {name: 'the head', text: UNFRAMED_HEAD},
  {name: 'a part of the body', text: `${UNFRAMED_HEAD}half a bo`},
  {name: 'a long part of the body', text: UNFRAMED_HEAD + 'x'.repeat(300_000)},
].forEach(({name, text}) =>
  [0, RESET_DELAY_MS].forEach(delayMs =>
    test(`a reset ${delayMs} ms behind ${name} of a response without a length is unknown`, async () => {
      const {server, baseUrl} = await createServerThat(
        resetBehind(text, delayMs),
      );
      const run = await send(baseUrl, {maxAnswerBytes: 1_000_000});
      server.close();
      assert.is(run, 'unknown');
    }),
  ),
);

// Guards against the same over TLS, where the HTTP client gets another kind of socket.
[0, RESET_DELAY_MS].forEach(delayMs =>
  [9, 300_000].forEach(bytes =>
    test(`a reset over TLS ${delayMs} ms behind ${bytes} bytes without a length is unknown`, async () => {
      const {cert, private: key} = await generate([
        {name: 'commonName', value: 'h'},
      ]);
      const raw: Socket[] = [];
      const server = createTlsServer({cert, key}, socket => {
        socket.on('error', () => undefined);
        socket.once('data', () =>
          socket.write(UNFRAMED_HEAD + 'x'.repeat(bytes), () =>
            setTimeout(() => raw[0]?.resetAndDestroy(), delayMs),
          ),
        );
      });
      server.on('connection', (socket: Socket) => raw.push(socket));
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const {port} = server.address() as AddressInfo;
      process.env['NODE_TLS_REJECT_UNAUTHORIZED'] = '0';
      const run = await send(`https://127.0.0.1:${port}`, {
        ...{maxAnswerBytes: 1_000_000, body: Buffer.from('body')},
      });
      delete process.env['NODE_TLS_REJECT_UNAUTHORIZED'];
      server.close();
      assert.is(run, 'unknown');
    }),
  ),
);

test('a response without a length is complete once its connection ends', async () => {
  const {server, baseUrl} = await createServerThat((socket, bytesRead) => {
    if (bytesRead >= BODY.length) socket.end(`${UNFRAMED_HEAD}the body`);
  });
  assert.is(await send(baseUrl), 'answered');
  server.close();
});

// Guards against a response that ends in its head or body and counts as complete, or as
// one to a request that has not run.
[
  {name: 'end', cut: (socket: Socket) => socket.destroySoon()},
  {name: 'reset', cut: (socket: Socket) => socket.resetAndDestroy()},
].forEach(({name, cut}) =>
  test(`${name} at each byte of a response is unknown`, async () => {
    const pools = new BackendPools();
    for (let sent = 0; sent < RESPONSE.length; sent += 1) {
      const {seen, server, baseUrl} = await createServerThat(socket => {
        socket.once('data', () => {
          socket.write(RESPONSE.slice(0, sent));
          setTimeout(() => cut(socket), 1);
        });
      });
      const body = Buffer.from('body');
      const runs = [
        await send(baseUrl, {body}),
        await sendPooled(pools, baseUrl, body),
      ];
      server.close();
      assert.equal(runs, ['unknown', 'unknown'], `after ${sent} bytes`);
      assert.is(seen.connections, 2, `after ${sent} bytes`);
    }
    await pools.close();
  }),
);

test('a request is not resent after a reset before it was sent', async () => {
  // Guards against an HTTP client that reconnects for an unsent request.
  const {seen, server, baseUrl} = await createServerThat(resetOnConnect);
  const runs = await Promise.all(Array.from({length: 40}, () => send(baseUrl)));
  assert.ok(runs.every(run => run === 'not-run' || run === 'unknown'));
  assert.is(seen.connections, 40);
  server.close();
});

test('a failed connection or a passed deadline is not-run', async () => {
  const {seen, server, baseUrl} = await createServerThat(respond);
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

test('an abort after sending has started is unknown', async () => {
  const abort = new AbortController();
  const {server, baseUrl} = await createServerThat((_socket, bytesRead) => {
    if (bytesRead > 0) abort.abort();
  });
  assert.is(await send(baseUrl, {signal: abort.signal}), 'unknown');
  server.close();
});

test('a response over its limit is reported as ran', async () => {
  const {server, baseUrl} = await createServerThat(respond);
  assert.is(await send(baseUrl), 'answered');
  assert.is(await send(baseUrl, {maxAnswerBytes: 1}), 'ran');
  server.close();
});

// Guards against a caller that receives a status that is none.
test('a status that is none fails a request, which may have run', async () => {
  for (const status of ['000', '099', '600', '999']) {
    const {server, baseUrl} = await createServerThat((socket, bytesRead) => {
      if (bytesRead < BODY.length) return;
      socket.end(`HTTP/1.1 ${status} Odd\r\nconnection: close\r\n\r\nok`);
    });
    assert.is(await send(baseUrl), 'unknown', status);
    server.close();
  }
});

test.run();
