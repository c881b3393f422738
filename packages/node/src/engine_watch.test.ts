import {type Slot} from '@mimosatack/agreed-state';
import {ManualClock} from '@mimosatack/clock';
import {type EngineControl} from '@mimosatack/platform';
import {TAKEOVER_DELAY_MS} from '@mimosatack/steward-orders';
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

/** Runs a watch until `untilMs`; returns when the watch took over, or null. */
async function findTakeoverMs(
  readEngine: () => Promise<EngineState>,
  listSlots: (nowMs: number) => Slot[],
  untilMs: number,
): Promise<number | null> {
  const clock = new ManualClock();
  let takeoverMs: number | null = null;
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
    onNeglected: () => (takeoverMs = clock.wallMs()),
  });
  while (clock.wallMs() < untilMs) {
    if (clock.wallMs() % TICK_MS === 0) watch.scheduleRead();
    clock.advance(TICK_MS / 5);
    await new Promise(resolve => setImmediate(resolve));
  }
  return takeoverMs;
}

test('takes over soon after a due load that was not ordered', async () => {
  // Guards against models that are cold at the start of an event because the
  // steward crashed too late for membership to notice.
  const takeoverMs = await findTakeoverMs(
    () => Promise.resolve(makeEngine(false)),
    () => [makeSlot(LOAD_AT_MS)],
    LOAD_AT_MS + 1_000,
  );
  assert.is(takeoverMs, LOAD_AT_MS + TAKEOVER_DELAY_MS);
});

test('does not take over while the holder loads', async () => {
  const takeoverMs = await findTakeoverMs(
    () => Promise.resolve(makeEngine(true)),
    () => [makeSlot(LOAD_AT_MS)],
    LOAD_AT_MS + 5_000,
  );
  assert.is(takeoverMs, null);
});

test('does not take over an engine that does not answer', async () => {
  const takeoverMs = await findTakeoverMs(
    () => Promise.reject(new Error('no answer')),
    () => [makeSlot(LOAD_AT_MS)],
    LOAD_AT_MS + 5_000,
  );
  assert.is(takeoverMs, null);
});

// Guards against a due load that nobody orders since its slot was read late.
test('checks a load whose slot was read shortly before it was due', async () => {
  const readAtMs = LOAD_AT_MS - 100;
  const takeoverMs = await findTakeoverMs(
    () => Promise.resolve(makeEngine(false)),
    nowMs => (nowMs < readAtMs ? [] : [makeSlot(LOAD_AT_MS)]),
    LOAD_AT_MS + 3_000,
  );
  assert.ok(takeoverMs !== null && takeoverMs <= LOAD_AT_MS + 2_000);
});

// Guards against a due load that nobody orders since an engine was briefly unreachable.
test('checks a load again when the engine did not answer', async () => {
  let reads = 0;
  const takeoverMs = await findTakeoverMs(
    () => {
      reads += 1;
      return reads <= 3
        ? Promise.reject(new Error('no answer'))
        : Promise.resolve(makeEngine(false));
    },
    () => [makeSlot(LOAD_AT_MS)],
    LOAD_AT_MS + 6_000,
  );
  assert.is(takeoverMs, LOAD_AT_MS + TAKEOVER_DELAY_MS + 3 * 1_000);
});

test('leaves the holder time for a load that is due when decided', async () => {
  // Guards against a takeover from a healthy holder that learns of an immediate
  // load only at its next tick.
  const decidedMs = 10_000;
  const takeoverMs = await findTakeoverMs(
    () => Promise.resolve(makeEngine(false)),
    nowMs => (nowMs < decidedMs ? [] : [makeSlot(decidedMs)]),
    decidedMs + 1_400,
  );
  assert.is(takeoverMs, null);
});

test.run();
