import {ManualClock} from '@mimosatack/clock';
import {SeededRandom} from '@mimosatack/random';
import {type SocketAddress} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServerPath} from './server_path.js';

const test = suite('path to the backend servers');

function makeAddress(port: number): SocketAddress {
  return {ip: '10.0.0.1', port};
}

/** @param reachable the ports that this host reaches. */
function createFixture(reachable: Set<number>) {
  const clock = new ManualClock();
  const changes: boolean[] = [];
  const tried: number[] = [];
  const path = new ServerPath({
    ...{clock, random: new SeededRandom(1)},
    listServers: () => [1, 2, 3, 4, 5, 6].map(makeAddress),
    tryConnect: ({port}) => {
      tried.push(port);
      return Promise.resolve(reachable.has(port));
    },
    onPathChange: isCutOff => changes.push(isCutOff),
  });
  const fail = (port: number) => path.recordFailure(makeAddress(port));
  return {clock, path, changes, tried, fail};
}

// Guards against relaying, and leaving the duty, since one server has crashed.
test('one server that fails repeatedly is not checked', async () => {
  const {fail, path, tried} = createFixture(new Set());
  await fail(1);
  await fail(1);
  assert.not(path.isCutOff);
  assert.equal(tried, []);
});

test('the path is lost if a check of other servers reaches none', async () => {
  const {fail, path, changes, tried} = createFixture(new Set());
  await Promise.all([fail(1), fail(2), fail(3)]);
  assert.ok(path.isCutOff);
  assert.equal(changes, [true]);
  assert.is(tried.length, 4);
});

// Guards against taking the crash of several servers for a cut of this host.
test('the path holds while another server is reached', async () => {
  const {fail, path, changes} = createFixture(new Set([3, 4, 5, 6]));
  await fail(1);
  await fail(2);
  assert.not(path.isCutOff);
  assert.equal(changes, []);
});

test('a success between two failures keeps the path', async () => {
  const {fail, path, tried} = createFixture(new Set());
  await fail(1);
  path.recordSuccess();
  await fail(2);
  assert.not(path.isCutOff);
  assert.equal(tried, []);
});

// Guards against a host that goes on relaying once its network is mended.
test('the path is regained once a server is reached', async () => {
  const reachable = new Set<number>();
  const {clock, fail, path, changes} = createFixture(reachable);
  await fail(1);
  await fail(2);
  const passTime = async () => {
    clock.advance(500);
    await new Promise(resolve => setImmediate(resolve));
  };
  await passTime();
  assert.ok(path.isCutOff);
  [1, 2, 3, 4, 5, 6].forEach(port => reachable.add(port));
  await passTime();
  assert.not(path.isCutOff);
  assert.equal(changes, [true, false]);
  assert.is(clock.nextTimerMs(), undefined);
});

test.run();
