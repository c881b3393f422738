import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BackendPools} from './backend_pools.js';
import {readErrorResponse} from './read_error_response.js';

const test = suite('pooled connections');

const REFUSAL = 'HTTP/1.1 429 Full\r\nContent-Length: 0\r\n\r\n';
const FAILURE = 'HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n';
const SUCCESS = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

// Guards against a copy of an earlier refusal that counts as 'not run' for a request that runs.
test('a copy of a refusal does not say that the next request has not run', async () => {
  let calls = 0;
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    let isRefused = false;
    // The first request is refused. Later ones run; on the connection of the first one, a
    // copy of its refusal comes before their response.
    socket.on('data', () => {
      calls += 1;
      isRefused ||= calls === 1;
      socket.write(isRefused ? REFUSAL : FAILURE);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const pools = new BackendPools();
  const send = async () => {
    const response = await pools.send({
      ...{baseUrl: `http://127.0.0.1:${port}`, path: '/', headers: {}},
      ...{body: 'x', signal: new AbortController().signal},
    });
    return readErrorResponse(response);
  };
  await send();
  // The pool uses the first connection again after another one.
  const runs = [await send(), await send(), await send()].map(({run}) => run);
  await pools.close();
  server.close();
  assert.is(calls, 4);
  assert.not.ok(runs.includes('not-run'), runs.join());
});

// Guards against a new connection for each request.
test('a connection is used again after a success', async () => {
  let connections = 0;
  const server = createServer(socket => {
    connections += 1;
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(SUCCESS));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const pools = new BackendPools();
  for (let sent = 0; sent < 5; sent += 1) {
    const {body} = await pools.send({
      ...{baseUrl: `http://127.0.0.1:${port}`, path: '/', headers: {}},
      ...{body: 'x', signal: new AbortController().signal},
    });
    assert.is(await body.text(), 'ok');
  }
  await pools.close();
  server.close();
  assert.ok(connections <= 2, `${connections} connections`);
});

test.run();
