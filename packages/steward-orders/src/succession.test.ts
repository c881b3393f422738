import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  TAKEOVER_DELAY_MS,
  type TakeoverCheckInput,
  findNextCheckMs,
  checkForTakeover,
} from './succession.js';
import {MODEL_MIB, makeEngine, makeReplica, makeSlot} from './test_fixtures.js';

const test = suite('succession');

const DUE_MS = 100_000;

function isNeglected(parts: Partial<TakeoverCheckInput>): boolean {
  return checkForTakeover({
    slots: [makeSlot()],
    engine: makeEngine(),
    rank: 1,
    nowMs: DUE_MS + TAKEOVER_DELAY_MS,
    incompleteBefore: new Set(),
    ...parts,
  }).shouldTakeOver;
}

test('takes over when a due load was not ordered', () => {
  // Guards against an event that starts without its model because the
  // controlling node has crashed and its failure is not detected yet.
  assert.ok(isNeglected({}));
  assert.not(isNeglected({nowMs: DUE_MS + TAKEOVER_DELAY_MS - 1}));
  assert.not(isNeglected({rank: 2}));
});

test('does not take over while a load is running or waits for memory', () => {
  const slot = makeSlot();
  const replicas = [makeReplica(slot, {status: 'loading'})];
  assert.not(isNeglected({engine: makeEngine({replicas})}));
  const memoryMib = MODEL_MIB - 1;
  assert.not(isNeglected({engine: makeEngine({memoryMib})}));
});

test('takes over when an adapter is still missing at the next check', () => {
  const slot = makeSlot({adapters: ['a']});
  const engine = makeEngine({replicas: [makeReplica(slot)]});
  const parts = {slots: [slot], engine};
  assert.not(isNeglected(parts));
  assert.ok(isNeglected({...parts, incompleteBefore: new Set(['s1'])}));
});

test('does not take over an engine that ignores fencing numbers', () => {
  // Guards against two nodes that both send orders to one engine.
  assert.not(isNeglected({engine: makeEngine({fencing: 'ignores'})}));
});

test('checks when a load is due, not in between', () => {
  const slots = [makeSlot()];
  assert.is(findNextCheckMs(slots, 1, 0), DUE_MS + TAKEOVER_DELAY_MS);
  assert.is(findNextCheckMs(slots, 1, DUE_MS + 10_000), null);
});

test.run();
