import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {HostRing, StreamRate, findCopyCount} from './origin_copies.js';
import {makeStreamId} from './stream_origin.js';

const test = suite('hosts that keep copies of origins');

const HOSTS = Array.from({length: 370}, (_, at) => ({
  nodeName: `front-${at}`,
  peerAddress: `10.0.0.${at}:1`,
}));
const IDS = Array.from({length: 2_000}, (_, at) =>
  makeStreamId(`r${at}`, null),
);

function listNames(ring: HostRing, id: string, count: number): string[] {
  return ring.listFollowing(id, count).map(({nodeName}) => nodeName);
}

// Guards against a host that asks others than those that were told.
test('a host that has come or gone leaves two of three copies in place', () => {
  const before = new HostRing(() => HOSTS);
  const after = new HostRing(() => HOSTS.slice(1));
  IDS.forEach(id => {
    const told = new Set(listNames(before, id, 3));
    const kept = listNames(after, id, 3).filter(name => told.has(name));
    assert.ok(kept.length >= 2);
  });
});

// Guards against a busy fleet that spends its bandwidth on copies.
test('the number of copies falls with the rate of streams', () => {
  assert.equal([0, 5, 8, 10, 21, 500].map(findCopyCount), [7, 7, 7, 6, 3, 3]);
  const rate = new StreamRate();
  assert.equal(
    [0, 400, 800, 1_200, 5_000].map(atMs => rate.record(atMs)),
    [1, 2, 3, 3, 1],
  );
});

test('a fleet with fewer hosts than copies keeps one at each', () => {
  const ring = new HostRing(() => HOSTS.slice(0, 2));
  assert.is(listNames(ring, 'ff', 7).length, 2);
  assert.equal(new HostRing(() => []).listFollowing('ff', 7), []);
});

test.run();
