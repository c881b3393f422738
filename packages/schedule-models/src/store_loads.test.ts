import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {StoreLoads} from './store_loads.js';

const test = suite('limits of loads from the weight store');

const STEP_MS = 50;
const WINDOW_MS = 5_000;
/** Requirement: at most 10 % above the rate plus three loads in any window. */
const OVERAGE = 1.1;
const SLACK = 3;
/** Short enough that only the rate limits the loads. */
const LOAD_MS = 50;

/** Starts all loads that two successive schedulers allow. */
function listStartTimes(perSecond: number, takeoverMs: number): number[] {
  const startTimesMs: number[] = [];
  let loads = new StoreLoads();
  for (let nowMs = 0; nowMs < 4 * WINDOW_MS; nowMs += STEP_MS) {
    if (nowMs === takeoverMs) loads = new StoreLoads();
    while (loads.canStart(perSecond, nowMs)) {
      const engineId = `e${startTimesMs.length}`;
      loads.recordStart(engineId, 'm', LOAD_MS, nowMs);
      loads.recordEnd(engineId);
      startTimesMs.push(nowMs);
    }
  }
  return startTimesMs;
}

/*
 * Guards against exceeding the store's rate when a node crashes and its
 * successor does not know of the loads that it started.
 */
test('two successive schedulers stay within the rate', () => {
  [1, 3.1, 7.5, 54].forEach(perSecond =>
    [100, 2_000, 4_900, 7_000].forEach(takeoverMs => {
      const started = listStartTimes(perSecond, takeoverMs);
      const most = (perSecond * WINDOW_MS * OVERAGE) / 1_000 + SLACK;
      started.forEach(fromMs => {
        const count = started.filter(
          atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS,
        ).length;
        assert.ok(count <= most, `${count} at ${perSecond}, ${takeoverMs}`);
      });
      assert.ok(started.length > 0);
    }),
  );
});

/** A store that serves `fullSpeedLoads` concurrent loads at full speed. */
class StoreSimulation {
  readonly loads = new StoreLoads();
  mostAtOnce = 0;
  ended = 0;
  private started = 0;
  /** Number of loads that took 1.5 times as long as at full speed or more. */
  slowed = 0;
  private readonly leftMs = new Map<string, number>();
  private readonly startedAtMs = new Map<string, number>();

  constructor(
    private readonly fullSpeedLoads: number,
    private readonly loadMs: number,
    /** Whether later loads leave a load as slow as it began, or slow it down too. */
    private readonly isFixedAtStart = false,
  ) {}

  run(forMs: number): this {
    for (let nowMs = 0; nowMs < forMs; nowMs += STEP_MS) {
      const shareMs = STEP_MS * (this.isFixedAtStart ? 1 : this.speed);
      this.leftMs.forEach((leftMs, id) =>
        this.leftMs.set(id, leftMs - shareMs),
      );
      if (nowMs % HEARTBEAT_MS === 0) this.report(nowMs);
      while (this.loads.canStart(PLENTY_PER_SECOND, nowMs)) this.begin(nowMs);
    }
    return this;
  }

  /** Fraction of the full speed at which each load proceeds. */
  private get speed(): number {
    return Math.min(1, this.fullSpeedLoads / Math.max(1, this.leftMs.size));
  }

  private begin(nowMs: number): void {
    this.started += 1;
    const id = `e${this.started}`;
    this.loads.recordStart(id, 'm', this.loadMs, nowMs);
    this.leftMs.set(id, this.loadMs);
    this.startedAtMs.set(id, nowMs);
    if (this.isFixedAtStart) this.leftMs.set(id, this.loadMs / this.speed);
    this.mostAtOnce = Math.max(this.mostAtOnce, this.leftMs.size);
  }

  /** Engines report their resident models with heartbeats. */
  private report(nowMs: number): void {
    this.leftMs.forEach((leftMs, id) => {
      if (leftMs > 0) return this.loads.recordResidents(id, ['other'], nowMs);
      this.loads.recordResidents(id, ['other', 'm'], nowMs);
      this.leftMs.delete(id);
      const tookMs = nowMs - (this.startedAtMs.get(id) ?? nowMs);
      if (tookMs >= 1.5 * this.loadMs) this.slowed += 1;
      this.ended += 1;
    });
  }
}

const HEARTBEAT_MS = 1_200;
const PLENTY_PER_SECOND = 44;

/*
 * Guards against concurrent loads that slow each other down and block swaps for
 * a minute.
 */
test('loads that slow each other down run one at a time', () => {
  const sim = new StoreSimulation(1, 13_200).run(120_000);
  assert.is(sim.loads.concurrencyLimit, 1);
  assert.is(sim.mostAtOnce, 2);
  assert.ok(sim.ended >= 7, `${sim.ended} ended`);
});

test('the limit rises to the concurrency that runs at full speed', () => {
  const sim = new StoreSimulation(4, 6_000).run(60_000);
  assert.ok(sim.loads.concurrencyLimit >= 3, `${sim.loads.concurrencyLimit}`);
  assert.ok(sim.mostAtOnce <= 6, `${sim.mostAtOnce}`);
});

// Guards against a limit above what the store serves, which makes each load take longer, and below.
test('the limit settles at the concurrency that runs at full speed', () => {
  [false, true].forEach(isFixedAtStart =>
    [1, 2, 4, 8].forEach(fullSpeedLoads => {
      const sim = new StoreSimulation(fullSpeedLoads, 10_000, isFixedAtStart);
      sim.run(200_000);
      const limit = sim.loads.concurrencyLimit;
      const name = `${fullSpeedLoads}, ${isFixedAtStart}: ${limit}`;
      assert.ok(
        limit >= fullSpeedLoads && limit <= 1.25 * fullSpeedLoads,
        name,
      );
      // Each step up is tried once.
      assert.ok(sim.slowed <= fullSpeedLoads + 2, `${name}, ${sim.slowed}`);
    }),
  );
});

test('a load that is reported early or never does not change the limit', () => {
  const loads = new StoreLoads();
  loads.recordStart('e1', 'm', 6_000, 0);
  loads.recordResidents('e1', ['m'], 1_000);
  assert.is(loads.concurrencyLimit, 2);
  loads.recordStart('e1', 'm', 6_000, 1_000);
  loads.recordStart('e2', 'm', 6_000, 1_000);
  assert.not(loads.canStart(PLENTY_PER_SECOND, 10_000));
  assert.ok(loads.canStart(PLENTY_PER_SECOND, 100_000));
});

/*
 * Guards against starting more loads when engines report a model as soon as its
 * load starts.
 */
test('loads that are reported while running still count', () => {
  const loads = new StoreLoads();
  ['e1', 'e2'].forEach(id => {
    loads.recordStart(id, 'm', 6_000, 0);
    loads.recordResidents(id, ['m'], 1_000);
  });
  assert.not(loads.canStart(PLENTY_PER_SECOND, 5_900));
  assert.ok(loads.canStart(PLENTY_PER_SECOND, 6_100));
});

test.run();
