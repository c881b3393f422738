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

function makeWorld() {
  const clock = new ManualClock();
  const circuits: string[] = [];
  const router = new Router({
    clock,
    random: new SeededRandom(1),
    ownDomain: 'hall-b',
    findDomain: id => `hall-${id[0]}`,
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
  const ask = (change: Partial<RouteRequest> = {}) =>
    router.choose({candidates: IDS, excluded: new Set(), ...change});
  const askOften = (change: Partial<RouteRequest> = {}) =>
    new Set(Array.from({length: 50}, () => ask(change)));
  const answer = (id: string, firstByteMs: number) => {
    router.noteSent(id);
    router.noteDone(id, {status: 'answered', group: GROUP, firstByteMs});
  };
  const fail = (id: string) => {
    router.noteSent(id);
    router.noteDone(id, {status: 'failed'});
  };
  return {clock, circuits, router, report, ask, askOften, answer, fail};
}

test('prefers its own failure domain among equals only', () => {
  const {ask, askOften, router} = makeWorld();
  assert.equal([...askOften()], ['b0']);
  router.noteSent('b0');
  assert.is.not(ask(), 'b0');
});

test('leaves out domains that were tried while there is another', () => {
  const {askOften} = makeWorld();
  const avoidedDomains = new Set(['hall-a', 'hall-b']);
  assert.equal([...askOften({avoidedDomains: new Set(['hall-a'])})], ['b0']);
  assert.ok(askOften({avoidedDomains}).size > 0);
});

/*
 * A node has sent requests since a report was made that shows the server as
 * idle. By the report alone the node would send still more there.
 */
test('counts its own requests since the report', () => {
  const {clock, router, report, ask} = makeWorld();
  clock.advance(1_000);
  router.noteSent('a0');
  router.noteSent('b0');
  clock.advance(500);
  IDS.forEach(id => report(id, 0, 600));
  assert.is(ask(), 'a1');
});

/*
 * Two nodes share a server whose report shows more than it can run. Each cuts
 * its requests to its part; none sends more until its part is used up.
 */
test('sends no more than its part of a full server', () => {
  const {router, report} = makeWorld();
  const excluded = new Set(['a0', 'a1']);
  const request = {candidates: IDS, excluded, needsRoom: true};
  Array.from({length: 6}, () => router.noteSent('b0'));
  report('b0', 12);
  assert.equal(router.route(request), {status: 'full'});
  Array.from({length: 5}, () => router.noteDone('b0'));
  assert.equal(router.route(request), {status: 'chosen', id: 'b0'});
});

/*
 * A host is told to go. One node hears of it first, the platform's list lags
 * and goes on to show it as live. Nothing new may be sent there meanwhile.
 */
test('a hint that a host is leaving holds against the list', () => {
  const {router, askOften} = makeWorld();
  router.noteLeaving('b0');
  router.setDraining([]);
  assert.not.ok(askOften().has('b0'));
  router.setDraining([...IDS]);
  const request = {candidates: IDS, excluded: new Set<string>()};
  assert.equal(router.route(request), {status: 'none'});
});

/*
 * A server fails three requests in a row. It is left out, tried again with
 * one request at a time, and used again once a probe is answered.
 */
test('opens a circuit, probes it and closes it', () => {
  const {clock, router, circuits, fail, answer, ask} = makeWorld();
  Array.from({length: 3}, () => fail('b0'));
  const only = {candidates: ['b0']};
  assert.is(ask(only), null);
  clock.advance(2_000);
  assert.is(ask(only), 'b0');
  router.noteSent('b0');
  assert.is(ask(only), null);
  router.noteDone('b0', {status: 'failed'});
  clock.advance(1_500);
  assert.is(ask(only), null);
  clock.advance(2_000);
  answer('b0', 10);
  assert.is(ask(only), 'b0');
  assert.equal(circuits, ['b0 open', 'b0 closed']);
});

/*
 * An engine has become slow; users whose requests go there wait ten times as
 * long. It is left while its peers answer fast, yet used when it is alone.
 */
test('leaves a slow server early, and comes back to it if alone', () => {
  const {askOften, answer} = makeWorld();
  Array.from({length: 6}, () => answer('a0', 20));
  Array.from({length: 6}, () => answer('a1', 20));
  Array.from({length: 6}, () => answer('b0', 2_000));
  assert.not.ok(askOften().has('b0'));
  assert.equal([...askOften({candidates: ['b0']})], ['b0']);
});

/*
 * Engines publish what their prompt caches hold late and with gaps. A prompt
 * goes where its start is cached although the event for one block is lost.
 */
test('follows cached prefixes over gaps in the events', () => {
  const {router, askOften} = makeWorld();
  const hashes = new Sha256PrefixHasher().hash('some long prompt '.repeat(20));
  const events = [0, 1, 3].map(index => {
    const prefixHash = hashes[index] ?? '';
    return {op: 'stored' as const, model: 'm', prefixHash};
  });
  router.noteCacheEvents('a1', events);
  const prefix = {model: 'm', hashes};
  assert.equal([...askOften({prefix})], ['a1']);
  assert.equal([...askOften({prefix: {model: 'other', hashes}})], ['b0']);
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

test('the prefix table stays within its bound', () => {
  const table = new PrefixTable(100);
  Array.from({length: 1_000}).forEach((_, index) =>
    table.noteSent('a0', `m${index % 7}`, [`${index}`], index),
  );
  assert.is(table.size, 100);
  table.forget('a0');
  assert.is(table.size, 0);
});

test.run();
