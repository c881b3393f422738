import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EMPTY_STEWARD_MEMORY, decideSteward} from './decide_orders.js';
import {
  MODEL_MIB,
  listOrders,
  makeCached,
  makeEngine,
  makeInput,
  makeReplica,
  makeSlot,
  makeStagedSlot,
} from './test_fixtures.js';

const test = suite('steward orders');

test('loads at the planned time, not before', () => {
  const slots = [makeSlot()];
  assert.equal(listOrders({slots, nowMs: 99_999}), []);
  assert.equal(listOrders({slots, nowMs: 100_000}), ['load s1']);
});

test('loads the adapters once their base is warm', () => {
  const slot = makeSlot({adapters: ['a', 'b'], memoryMib: MODEL_MIB + 20});
  const slots = [slot];
  const nowMs = 100_000;
  const loading = makeEngine({
    replicas: [makeReplica(slot, {status: 'loading'})],
  });
  assert.equal(listOrders({slots, nowMs, engine: loading}), []);
  const warm = makeEngine({replicas: [makeReplica(slot)]});
  assert.equal(listOrders({slots, nowMs, engine: warm}), [
    'load s1/a',
    'load s1/b',
  ]);
});

test('stages until the checkpoint is cached, then unloads at once', () => {
  const slot = makeStagedSlot();
  const slots = [slot];
  assert.equal(listOrders({slots, nowMs: 10_000}), ['load s1']);
  const replicas = [makeReplica(slot, {status: 'loading'})];
  const fetching = makeEngine({replicas});
  assert.equal(listOrders({slots, nowMs: 11_000, engine: fetching}), []);
  const cached = [makeCached(slot)];
  const done = makeEngine({replicas, cached});
  assert.equal(listOrders({slots, nowMs: 12_000, engine: done}), ['unload s1']);
  const gone = makeEngine({cached});
  assert.equal(listOrders({slots, nowMs: 13_000, engine: gone}), []);
  assert.equal(listOrders({slots, nowMs: 100_000, engine: gone}), ['load s1']);
});

test('stages again when the cache evicted the checkpoint, twice at most', () => {
  // Guards against two staged models that evict each other from the cache and
  // are fetched from the weight store again and again.
  const slots = [makeStagedSlot()];
  const first = decideSteward(makeInput({slots, nowMs: 10_000}));
  const again = decideSteward(
    makeInput({slots, nowMs: 30_000, memory: first.memory}),
  );
  assert.equal(again.orders.length, 1);
  assert.equal(listOrders({slots, nowMs: 40_000, memory: again.memory}), []);
});

test('starts earlier when the cache evicted a staged checkpoint', () => {
  const slots = [makeStagedSlot()];
  const memory = {
    ...EMPTY_STEWARD_MEMORY,
    stagingLoads: new Map([['s1', 2]]),
  };
  const earlyMs = 100_000 - (1_300 - 700);
  assert.equal(listOrders({slots, memory, nowMs: earlyMs - 1}), []);
  assert.equal(listOrders({slots, memory, nowMs: earlyMs}), ['load s1']);
});

test('starts earlier when the weight store is slow', () => {
  // Guards against a load that misses the event's start because the weight
  // store has slowed down since planning and the log is unavailable.
  const slots = [makeSlot()];
  const outlook = () => ({
    startsAtMs: 102_000,
    storeLoadMs: 1_300,
    cachedLoadMs: {memory: 700, disk: 900},
    slowdown: 10,
  });
  assert.equal(listOrders({slots, nowMs: 82_000}), []);
  assert.equal(listOrders({slots, findLoadTimes: outlook, nowMs: 82_000}), [
    'load s1',
  ]);
});

test('does not load early into memory that is planned for another slot', () => {
  const other = makeSlot({slotId: 's2', model: 'm2', loadAtMs: 90_000});
  const slots = [makeSlot(), other];
  const engine = makeEngine({memoryMib: MODEL_MIB});
  const outlook = () => ({
    startsAtMs: 102_000,
    storeLoadMs: 1_300,
    cachedLoadMs: {memory: 700, disk: 900},
    slowdown: 10,
  });
  const nowMs = 85_000;
  assert.equal(listOrders({slots, engine, findLoadTimes: outlook, nowMs}), [
    'load s2',
  ]);
});

test('does not load early where an outdated order may still arrive', () => {
  // Guards against an early load into memory that an outdated order may take on
  // an engine without fencing.
  const slots = [makeSlot()];
  const engine = makeEngine({fencing: 'ignores'});
  const outlook = () => ({
    startsAtMs: 102_000,
    storeLoadMs: 1_300,
    cachedLoadMs: {memory: 700, disk: 900},
    slowdown: 10,
  });
  const parts = {slots, engine, findLoadTimes: outlook, nowMs: 85_000};
  assert.equal(listOrders({...parts, mayReceivePreviousOrders: true}), []);
  assert.equal(listOrders(parts), ['load s1']);
});

test('waits for the memory of the previous event', () => {
  // Guards against overcommitting memory while the replica of an ended event
  // still serves requests.
  const old = makeSlot({slotId: 's0', model: 'm0', untilMs: 100_000});
  const slots = [{...old, status: 'ending' as const}, makeSlot()];
  const engine = makeEngine({
    memoryMib: MODEL_MIB,
    replicas: [makeReplica(old, {activeRequests: 1})],
  });
  assert.equal(listOrders({slots, engine, nowMs: 100_000}), []);
});

test('ends overdue slots and releases ending ones that are unloaded', () => {
  const slots = [
    makeSlot(),
    makeSlot({slotId: 's2', status: 'ending'}),
    makeSlot({slotId: 's3', status: 'ending'}),
  ];
  const step = decideSteward(
    makeInput({slots, nowMs: 200_000, unansweredSlotIds: new Set(['s3/a'])}),
  );
  assert.equal(step.overdue, ['s1']);
  assert.equal(step.released, ['s2']);
});

test('reports the time of the next decision', () => {
  const lookAgain = (nowMs: number) =>
    decideSteward(makeInput({slots: [makeStagedSlot()], nowMs})).nextStepAtMs;
  assert.is(lookAgain(0), 10_000);
  assert.is(lookAgain(10_000), 10_100);
  assert.is(decideSteward(makeInput()).nextStepAtMs, null);
});

test.run();
