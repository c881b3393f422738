import {type Slot} from '@mimosatack/agreed-state';
import {ManualClock} from '@mimosatack/clock';
import {type EngineControl} from '@mimosatack/platform';
import {WATCH_PATIENCE_MS} from '@mimosatack/steward-orders';
import {type EngineState} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EngineWatch} from './engine_watch.js';

const test = suite('engine watch');

const LOAD_AT_MS = 60_000;
const TICK_MS = 500;

function makeSlot(loadAtMs: number): Slot {
  return {
    slotId: 's1',
    model: 'm1',
    version: 'v1',
    adapters: [],
    backendServerId: 'r1',
    memoryMib: 100,
    stage: null,
    loadAtMs,
    storeMs: 0,
    untilMs: loadAtMs + 600_000,
    replaces: null,
    purpose: {for: 'event', eventId: 'e'},
    status: 'decided',
    endReason: null,
    decidedAt: 1,
  };
}

function makeEngine(isLoading: boolean): EngineState {
  const replica = {
    slotId: 's1',
    model: 'm1',
    adapter: null,
    version: 'v1',
    memoryMib: 100,
    status: 'loading' as const,
    loadMs: 0,
    activeRequests: 0,
  };
  return {
    backendServerId: 'r1',
    incarnation: 'i1',
    fencing: 'refuses-old',
    highestFencingNumber: 0,
    accelerators: 8,
    memoryMib: 1_000,
    replicas: isLoading ? [replica] : [],
    cached: [],
    load: {
      runningRequests: 0,
      queuedRequests: 0,
      maxRunningRequests: 16,
      tokensPerSecond: 0,
      ageMs: 0,
    },
  };
}

/** Runs a watch until `untilMs`; gives when it stepped in, or null. */
async function findStepInMs(
  readEngine: () => Promise<EngineState>,
  listSlots: (nowMs: number) => Slot[],
  untilMs: number,
): Promise<number | null> {
  const clock = new ManualClock();
  let steppedInMs: number | null = null;
  const control: EngineControl = {
    backendServerId: 'r1',
    readState: readEngine,
    sendOrder: () => Promise.resolve(),
  };
  const watch = new EngineWatch({
    clock,
    control,
    epoch: 1,
    rank: 1,
    listSlots: () => listSlots(clock.wallMs()),
    onNeglected: () => (steppedInMs = clock.wallMs()),
  });
  while (clock.wallMs() < untilMs) {
    if (clock.wallMs() % TICK_MS === 0) watch.plan();
    clock.advance(TICK_MS / 5);
    await new Promise(resolve => setImmediate(resolve));
  }
  return steppedInMs;
}

test('steps in soon after a due load that nobody ordered', async () => {
  // A steward dies a second before the start of an event, too late for its
  // death to be noticed in time. Its models would be cold at the start.
  const steppedInMs = await findStepInMs(
    () => Promise.resolve(makeEngine(false)),
    () => [makeSlot(LOAD_AT_MS)],
    LOAD_AT_MS + 1_000,
  );
  assert.is(steppedInMs, LOAD_AT_MS + WATCH_PATIENCE_MS);
});

test('stays away while the holder does its work', async () => {
  const steppedInMs = await findStepInMs(
    () => Promise.resolve(makeEngine(true)),
    () => [makeSlot(LOAD_AT_MS)],
    LOAD_AT_MS + 5_000,
  );
  assert.is(steppedInMs, null);
});

test('stays away from an engine that does not answer', async () => {
  const steppedInMs = await findStepInMs(
    () => Promise.reject(new Error('no answer')),
    () => [makeSlot(LOAD_AT_MS)],
    LOAD_AT_MS + 5_000,
  );
  assert.is(steppedInMs, null);
});

test('leaves the holder time for a load that is due when decided', async () => {
  // A load on demand is due at once. A holder that folds it at its next tick
  // would look dead to a successor that counts from the due time.
  const decidedMs = 10_000;
  const steppedInMs = await findStepInMs(
    () => Promise.resolve(makeEngine(false)),
    nowMs => (nowMs < decidedMs ? [] : [makeSlot(decidedMs)]),
    decidedMs + 1_400,
  );
  assert.is(steppedInMs, null);
});

test.run();
