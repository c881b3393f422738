import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServerMemory} from './server_memory.js';
import {StoreTimetable} from './store_timetable.js';
import {minutes} from './test_fixtures.js';
import {TimetablePolicy} from './timetable_policy.js';
import {type WarmingRequest, type WarmingWeights} from './warming_policy.js';

const test = suite('timetable policy');

const START_MS = minutes(60);
const EVEN: WarmingWeights = {coldStartWeight: 0.5, idleWeight: 0.5};

function makeRequest(parts: Partial<WarmingRequest> = {}): WarmingRequest {
  return {
    startsAtMs: START_MS,
    endsAtMs: START_MS + minutes(10),
    nowMs: 0,
    memoryMib: 100,
    tier: 'remote',
    canStage: true,
    remote: {storeMs: 1_000, initMs: 300, spreadMs: 0},
    near: {storeMs: 0, initMs: 700, spreadMs: 0},
    eventStoreMs: 1_000,
    timetable: new StoreTimetable(1),
    room: new ServerMemory(100, []),
    ...parts,
  };
}

function choose(parts: Partial<WarmingRequest> = {}, weights = EVEN) {
  return new TimetablePolicy(weights).chooseTimes(makeRequest(parts));
}

test('stages ten minutes ahead and loads just before the start', () => {
  const times = choose();
  assert.is(times?.stage?.fromMs, START_MS - minutes(10));
  assert.is(times?.loadAtMs, START_MS - 1_000 - 700);
});

test('uses a longer margin if cold starts weigh more', () => {
  const coldStartAverse = choose({}, {coldStartWeight: 0.7, idleWeight: 0.3});
  const idleAverse = choose({}, {coldStartWeight: 0.3, idleWeight: 0.7});
  assert.ok((coldStartAverse?.loadAtMs ?? 0) < (idleAverse?.loadAtMs ?? 0));
});

test('adds the spread of observed loads to the margin', () => {
  const near = {storeMs: 0, initMs: 700, spreadMs: 400};
  assert.is(choose({near})?.loadAtMs, START_MS - 1_400 - 700);
});

test('schedules unstaged loads backwards from the start', () => {
  const timetable = new StoreTimetable(1);
  const starts = [1, 2, 3].map(() => {
    const times = choose({canStage: false, timetable});
    const fromMs = times?.loadAtMs ?? 0;
    timetable.add({fromMs, untilMs: fromMs + 1_000});
    return START_MS - fromMs;
  });
  assert.equal(starts, [2_300, 3_300, 4_300]);
});

test('stages immediately, one load after another, before a near event', () => {
  const timetable = new StoreTimetable(1);
  const nowMs = START_MS - 20_000;
  const first = choose({nowMs, timetable});
  timetable.add({fromMs: nowMs, untilMs: nowMs + 1_000});
  const second = choose({nowMs, timetable});
  assert.is(first?.stage?.fromMs, nowMs);
  assert.is(second?.stage?.fromMs, nowMs + 1_000);
});

test('loads immediately when there is no time to stage', () => {
  const nowMs = START_MS - 3_000;
  const times = choose({nowMs});
  assert.is(times?.stage, null);
  assert.is(times?.loadAtMs, nowMs);
});

test('stages before another event reserves the memory', () => {
  const fromMs = START_MS - minutes(20);
  const hold = {fromMs, untilMs: START_MS, memoryMib: 100};
  const times = choose({room: new ServerMemory(100, [hold])});
  assert.ok((times?.stage?.untilMs ?? Infinity) <= fromMs);
  assert.is(times?.loadAtMs, START_MS);
});

test.run();
