import {createHash} from 'node:crypto';
import {ManualClock} from '@mimosatack/clock';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PrefixTable} from './prefix_table.js';
import {Sha256PrefixHasher} from './prefix_hasher.js';
import {type RouteRequest} from './route_types.js';
import {Router} from './router.js';

const test = suite('router');

const IDS = ['a0', 'b0', 'a1'];
const GROUP = 'm whole';

function createFixture() {
  const clock = new ManualClock();
  const circuits: string[] = [];
  const router = new Router({
    clock,
    random: new SeededRandom(1),
    ownDomain: 'domain-b',
    findDomain: id => `domain-${id[0]}`,
    countNodes: () => 2,
    onCircuit: (id, state) => circuits.push(`${id} ${state}`),
  });
  const report = (id: string, runningRequests: number, ageMs = 0) =>
    router.noteReport(id, {
      runningRequests,
      queuedRequests: 0,
      maxRunningRequests: 4,
      tokensPerSecond: 0,
      ageMs,
    });
  const choose = (change: Partial<RouteRequest> = {}) =>
    router.choose({candidates: IDS, excluded: new Set(), ...change});
  const chooseOften = (change: Partial<RouteRequest> = {}) =>
    new Set(Array.from({length: 50}, () => choose(change)));
  const answer = (id: string, firstByteMs: number) => {
    router.noteSent(id);
    router.noteDone(id, {status: 'answered', group: GROUP, firstByteMs});
  };
  const fail = (id: string) => {
    router.noteSent(id);
    router.noteDone(id, {status: 'failed'});
  };
  return {clock, circuits, router, report, choose, chooseOften, answer, fail};
}

test('prefers its own failure domain only at equal load', () => {
  const {choose, chooseOften, router} = createFixture();
  assert.equal([...chooseOften()], ['b0']);
  router.noteSent('b0');
  assert.is.not(choose(), 'b0');
});

test('avoids failure domains that were tried if others are available', () => {
  const {chooseOften} = createFixture();
  const avoidedDomains = new Set(['domain-a', 'domain-b']);
  assert.equal(
    [...chooseOften({avoidedDomains: new Set(['domain-a'])})],
    ['b0'],
  );
  assert.ok(chooseOften({avoidedDomains}).size > 0);
});

// Guards against sending more requests to a server that an old report shows as
// idle.
test('counts its own requests since the report', () => {
  const {clock, router, report, choose} = createFixture();
  clock.advance(1_000);
  router.noteSent('a0');
  router.noteSent('b0');
  clock.advance(500);
  IDS.forEach(id => report(id, 0, 600));
  assert.is(choose(), 'a1');
});

// Guards against nodes that together overload a server: each keeps to its share.
test('sends no more than its share to a full server', () => {
  const {router, report} = createFixture();
  const excluded = new Set(['a0', 'a1']);
  const request = {candidates: IDS, excluded, requiresCapacity: true};
  Array.from({length: 6}, () => router.noteSent('b0'));
  report('b0', 12);
  assert.equal(router.route(request), {status: 'full'});
  Array.from({length: 5}, () => router.noteDone('b0'));
  assert.equal(router.route(request), {status: 'chosen', id: 'b0'});
});

// Guards against sending requests to a leaving host that the lagging host list
// still shows as live.
test('a hint that a host is leaving takes precedence over the list', () => {
  const {router, chooseOften} = createFixture();
  router.noteLeaving('b0');
  router.setDraining([]);
  assert.not.ok(chooseOften().has('b0'));
  router.setDraining([...IDS]);
  const request = {candidates: IDS, excluded: new Set<string>()};
  assert.equal(router.route(request), {status: 'none'});
});

test('opens a circuit after three failures, probes it and closes it', () => {
  const {clock, router, circuits, fail, answer, choose} = createFixture();
  Array.from({length: 3}, () => fail('b0'));
  const only = {candidates: ['b0']};
  assert.is(choose(only), null);
  clock.advance(2_000);
  assert.is(choose(only), 'b0');
  router.noteSent('b0');
  assert.is(choose(only), null);
  router.noteDone('b0', {status: 'failed'});
  clock.advance(1_500);
  assert.is(choose(only), null);
  clock.advance(2_000);
  answer('b0', 10);
  assert.is(choose(only), 'b0');
  assert.equal(circuits, ['b0 open', 'b0 closed']);
});

// Guards against sending requests to a server that has become much slower than
// its peers, and against refusing it when it is the only one.
test('avoids a slow server unless it is the only one', () => {
  const {chooseOften, answer} = createFixture();
  Array.from({length: 6}, () => answer('a0', 20));
  Array.from({length: 6}, () => answer('a1', 20));
  Array.from({length: 6}, () => answer('b0', 2_000));
  assert.not.ok(chooseOften().has('b0'));
  assert.equal([...chooseOften({candidates: ['b0']})], ['b0']);
});

// Guards against cache misses when the event for one block is lost.
test('finds cached prefixes despite gaps in the events', () => {
  const {router, chooseOften} = createFixture();
  const hashes = new Sha256PrefixHasher().hash('some long prompt '.repeat(20));
  const events = [0, 1, 3].map(index => {
    const prefixHash = hashes[index] ?? '';
    return {op: 'stored' as const, model: 'm', prefixHash};
  });
  router.noteCacheEvents('a1', events);
  const prefix = {model: 'm', hashes};
  assert.equal([...chooseOften({prefix})], ['a1']);
  assert.equal([...chooseOften({prefix: {model: 'other', hashes}})], ['b0']);
});

test('hashes blocks as engines publish them', () => {
  const prompt = 'zażółć gęślą jaźń '.repeat(10);
  const expected = [64, 128].map(length =>
    createHash('sha256')
      .update(prompt.slice(0, length))
      .digest('hex')
      .slice(0, 16),
  );
  assert.equal(new Sha256PrefixHasher().hash(prompt), expected);
});

test('the prefix table does not exceed its size limit', () => {
  const table = new PrefixTable(100);
  Array.from({length: 1_000}).forEach((_, index) =>
    table.noteSent('a0', `m${index % 7}`, [`${index}`], index),
  );
  assert.is(table.size, 100);
  table.forget('a0');
  assert.is(table.size, 0);
});

test.run();
