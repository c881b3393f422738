import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  WATCH_PATIENCE_MS,
  type WatchInput,
  findNextWatchMs,
  watchEngine,
} from './succession.js';
import {MODEL_MIB, makeEngine, makeReplica, makeSlot} from './test_fixtures.js';

const test = suite('succession');

const DUE_MS = 100_000;

function isNeglected(parts: Partial<WatchInput>): boolean {
  return watchEngine({
    slots: [makeSlot()],
    engine: makeEngine(),
    rank: 1,
    nowMs: DUE_MS + WATCH_PATIENCE_MS,
    unfinishedBefore: new Set(),
    ...parts,
  }).isNeglected;
}

test('steps in when a due load was not ordered', () => {
  // The steward dies a second before the start of an event, when the late
  // loads are due. Its death shows only after some seconds, so without a look
  // at the engine the event would begin cold.
  assert.ok(isNeglected({}));
  assert.not(isNeglected({nowMs: DUE_MS + WATCH_PATIENCE_MS - 1}));
  assert.not(isNeglected({rank: 2}));
});

test('leaves a load alone that is under way or waits for memory', () => {
  const slot = makeSlot();
  const replicas = [makeReplica(slot, {status: 'loading'})];
  assert.not(isNeglected({engine: makeEngine({replicas})}));
  const memoryMib = MODEL_MIB - 1;
  assert.not(isNeglected({engine: makeEngine({memoryMib})}));
});

test('steps in for adapters that are still missing at the next look', () => {
  const slot = makeSlot({adapters: ['a']});
  const engine = makeEngine({replicas: [makeReplica(slot)]});
  const parts = {slots: [slot], engine};
  assert.not(isNeglected(parts));
  assert.ok(isNeglected({...parts, unfinishedBefore: new Set(['s1'])}));
});

test('never steps in where the engine would not cut the holder off', () => {
  // Two stewards would send orders to an engine that takes both.
  assert.not(isNeglected({engine: makeEngine({fencing: 'ignores'})}));
});

test('looks when a load is due, not in between', () => {
  const slots = [makeSlot()];
  assert.is(findNextWatchMs(slots, 1, 0), DUE_MS + WATCH_PATIENCE_MS);
  assert.is(findNextWatchMs(slots, 1, DUE_MS + 10_000), null);
});

test.run();
