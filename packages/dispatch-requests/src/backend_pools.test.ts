import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BackendPools} from './backend_pools.js';
import {readErrorResponse} from './read_error_response.js';

const test = suite('pooled connections');

const REFUSAL = 'HTTP/1.1 429 Full\r\nContent-Length: 0\r\n\r\n';

// Guards against a copy of an earlier refusal that counts as 'not run' for a request that runs.
test('a copy of a refusal does not say that the next request has not run', async () => {
  let calls = 0;
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    // The second request runs; the copy of the first refusal comes before its response.
    socket.on('data', () => {
      calls += 1;
      socket.write(REFUSAL);
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
  const {run} = await send();
  await pools.close();
  server.close();
  assert.is(calls, 2);
  assert.is.not(run, 'not-run');
});

test.run();
