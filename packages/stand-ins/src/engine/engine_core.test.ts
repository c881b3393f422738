import {ManualClock} from '@mimosatack/clock';
import {type EngineOrder} from '@mimosatack/platform';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EngineStandIn} from './engine_core.js';
import {type EngineOptions} from './engine_options.js';

const test = suite('engine core');

function setUp(options: Partial<EngineOptions> = {}) {
  const clock = new ManualClock();
  const engine = new EngineStandIn({memoryMib: 1_000, ...options}, clock);
  return {clock, engine};
}

function makeLoadOrder(slotId: string, fencingNumber = 1): EngineOrder {
  const ref = {model: 'm', adapter: null, version: '1'};
  const order = {orderId: `load-${slotId}`, slotId, fencingNumber};
  return {order: 'load', memoryMib: 600, ...order, ...ref};
}

function makeUnloadOrder(slotId: string): EngineOrder {
  return {order: 'unload', orderId: 'unload', slotId, fencingNumber: 1};
}

function submit(engine: EngineStandIn, requestId: string, priority = 5) {
  return engine.submit({
    header: {kind: 'text', model: 'm', requestId},
    request: {model: 'm', prompt: 'a b c'},
    idempotencyKey: null,
    priority,
  });
}

test('refuses an order with an old fencing number', () => {
  const {engine} = setUp();
  engine.applyOrder(makeLoadOrder('s1', 2));
  assert.throws(() => engine.applyOrder(makeLoadOrder('s2', 1)), /older/);
  const outcomes = engine.observe().orders.map(each => each.outcome);
  assert.equal(outcomes, ['taken', 'stale-fencing-number']);
  assert.is(engine.readState().replicas.length, 1);
});

test('shows that an engine without fencing took an old order', () => {
  const {engine} = setUp({fencing: 'ignores', memoryMib: 2_000});
  engine.applyOrder(makeLoadOrder('s1', 2));
  engine.applyOrder(makeLoadOrder('s2', 1));
  const [, late] = engine.observe().orders;
  assert.is(late?.outcome, 'taken');
  assert.is(late?.isStale, true);
  assert.is(engine.readState().highestFencingNumber, 0);
});

test('refuses what does not fit into memory', () => {
  const {engine} = setUp();
  engine.applyOrder(makeLoadOrder('s1'));
  assert.throws(() => engine.applyOrder(makeLoadOrder('s2')), /do not fit/);
  assert.equal(engine.observe().overcommits, []);
});

test('shows an overcommit of an engine that does not check', () => {
  const {engine} = setUp({checksMemory: false});
  engine.applyOrder(makeLoadOrder('s1'));
  engine.applyOrder(makeLoadOrder('s2'));
  const {overcommits, highWaterMib} = engine.observe();
  assert.is(overcommits[0]?.usedMib, 1_200);
  assert.is(highWaterMib, 1_200);
});

test('holds the memory of a replica until it is unloaded', () => {
  const {clock, engine} = setUp();
  engine.applyOrder(makeLoadOrder('s1'));
  engine.applyOrder(makeUnloadOrder('s1'));
  assert.throws(() => engine.applyOrder(makeLoadOrder('s2')), /do not fit/);
  clock.advance(1_000);
  engine.applyOrder(makeLoadOrder('s2'));
  assert.is(engine.readState().replicas.length, 1);
});

test('shows a request that was cut off by an unload', () => {
  const {clock, engine} = setUp();
  engine.applyOrder(makeLoadOrder('s1'));
  clock.advance(10_000);
  submit(engine, 'q1');
  engine.applyOrder(makeUnloadOrder('s1'));
  assert.is(engine.observe().requests[0]?.outcome, 'cut-off');
});

test('shows a request that met a replica still loading', () => {
  const {engine} = setUp();
  engine.applyOrder(makeLoadOrder('s1'));
  assert.throws(() => submit(engine, 'q1'), /not warm/);
  assert.is(engine.observe().coldStartStalls[0]?.isLoading, true);
});

test('runs waiting requests by priority, then by arrival', () => {
  const {clock, engine} = setUp({maxRunning: 1});
  engine.applyOrder(makeLoadOrder('s1'));
  clock.advance(10_000);
  submit(engine, 'first');
  submit(engine, 'low', 1);
  submit(engine, 'high', 9);
  submit(engine, 'high-later', 9);
  clock.advance(10_000);
  const started = engine
    .observe()
    .requests.sort((a, b) => (a.startedMs ?? 0) - (b.startedMs ?? 0))
    .map(each => each.requestId);
  assert.equal(started, ['first', 'high', 'high-later', 'low']);
});

test('weighs the rest of a warm replica by its share of memory', () => {
  const {clock, engine} = setUp({accelerators: 10, initMs: 100});
  engine.applyOrder(makeLoadOrder('s1'));
  clock.advance(100);
  clock.advance(1_000);
  assert.is(engine.observe().idleAcceleratorMs, 6_000);
  submit(engine, 'q1');
  clock.advance(1);
  assert.is(engine.observe().idleAcceleratorMs, 6_000);
});

test('keeps unloaded checkpoints, the oldest on disk', () => {
  const {clock, engine} = setUp({memoryCheckpoints: 1});
  engine.cacheCheckpoints([
    {model: 'old', adapter: null, version: '1', tier: 'memory'},
  ]);
  engine.applyOrder(makeLoadOrder('s1'));
  clock.advance(10_000);
  engine.applyOrder(makeUnloadOrder('s1'));
  const tiers = engine.readState().cached.map(each => each.tier + each.model);
  assert.equal(tiers, ['memorym', 'diskold']);
});

test('does nothing while frozen and goes on after', () => {
  const {clock, engine} = setUp();
  engine.applyOrder(makeLoadOrder('s1'));
  clock.advance(10_000);
  const run = submit(engine, 'q1');
  engine.gate.freeze(null);
  clock.advance(10_000);
  assert.is(run.chunks.length, 0);
  engine.gate.thaw();
  clock.advance(10_000);
  assert.is(run.observation.outcome, 'finished');
});

test('reports load late and cache events late and with gaps', () => {
  const {clock, engine} = setUp({cacheEventGapFraction: 0.5});
  engine.applyOrder(makeLoadOrder('s1'));
  clock.advance(10_000);
  const hashes = Array.from({length: 100}, (_, index) => `h${index}`);
  engine.prefixCache.use('m', hashes);
  submit(engine, 'q1');
  assert.is(engine.readState().load.runningRequests, 0);
  assert.is(engine.prefixCache.readEvents(0).nextSeq, 0);
  clock.advance(10_000);
  const {nextSeq, events} = engine.prefixCache.readEvents(0);
  assert.is(nextSeq, 100);
  assert.ok(events.length > 20 && events.length < 80);
});

test.run();
