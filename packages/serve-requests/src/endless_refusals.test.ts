import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {BackendConnections} from '@mimosatack/backend-connections';
import {SystemClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Attempt, type AttemptOptions} from './attempt.js';
import {makeRequest, makeServer} from './test_fixtures.js';

const test = suite('failures whose body never ends');

const SETTLE_MS = 2_000;

async function countOpenAfter(isNotRun: boolean): Promise<number> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () =>
      socket.write('HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\n'),
    );
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const address = {ip: '127.0.0.1', port};
  const clock = new SystemClock();
  const connections = new BackendConnections({clock, idleLimitMs: 4_000});
  const attempt = new Attempt({
    ...{connections, clock, request: makeRequest()},
    identity: {isNamed: true, classify: () => 'own'},
    dialect: {
      makeHeaders: () => ['Host', 'h'],
      readHead: ({status}: {status: number}) => ({
        ...{status, headers: [], isNotRun, readsAsNotRun: true},
        ...{isMisdirected: false, isGenuine: true, isEncoded: false},
        ...{load: null, limit: null, brittlePerSecond: null},
        availability: {isLeaving: false, pauseMs: null, invalidHeaders: []},
      }),
    },
    terms: {
      ...{server: makeServer({address}), remainingMs: 1_000, priority: null},
      ...{team: null, lastEventId: null},
    },
    ...{connectTimeoutMs: 500, maxIdleMs: 1_000},
    ...{onLoad: () => undefined, onStatus: () => undefined},
    ...{onAvailability: () => undefined, onLimit: () => undefined},
    onTerms: () => undefined,
  } as unknown as AttemptOptions);
  attempt.start();
  await attempt.outcome;
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  const count = connections.countConnections(address);
  connections.stop();
  server.close();
  return count;
}

// Guards against connections that stay open for good, one for each request, because nothing ends
// a response that the attempt no longer waits for.
test('a failure that may have run leaves no open connection', async () => {
  assert.is(await countOpenAfter(false), 0);
});

// Guards against the same after a refusal.
test('a refusal leaves no open connection', async () => {
  assert.is(await countOpenAfter(true), 0);
});

test.run();
