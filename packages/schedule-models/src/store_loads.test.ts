import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {StoreLoads} from './store_loads.js';

const test = suite('loads that the weight store bears');

const STEP_MS = 50;
const WINDOW_MS = 5_000;
/** The users' rule: so much above the rate, and three more, in any window. */
const OVERAGE = 1.1;
const SLACK = 3;
/** Short, so that only the rate holds loads back. */
const LOAD_MS = 50;

/** Begins all that one holder after the other may begin. */
function listBegun(perSecond: number, takeoverMs: number): number[] {
  const begunAtMs: number[] = [];
  let loads = new StoreLoads();
  for (let nowMs = 0; nowMs < 4 * WINDOW_MS; nowMs += STEP_MS) {
    if (nowMs === takeoverMs) loads = new StoreLoads();
    while (loads.mayBegin(perSecond, nowMs)) {
      const engineId = `e${begunAtMs.length}`;
      loads.noteBegun(engineId, 'm', LOAD_MS, nowMs);
      loads.noteEnded(engineId);
      begunAtMs.push(nowMs);
    }
  }
  return begunAtMs;
}

/*
 * A node is killed just after it has begun all the loads that it may. The next
 * one does not know of them and begins as many; more than the store's rate would
 * slow the loads of all, and is forbidden.
 */
test('two nodes one after the other stay within the rate', () => {
  [1, 3.1, 7.5, 54].forEach(perSecond =>
    [100, 2_000, 4_900, 7_000].forEach(takeoverMs => {
      const begun = listBegun(perSecond, takeoverMs);
      const most = (perSecond * WINDOW_MS * OVERAGE) / 1_000 + SLACK;
      begun.forEach(fromMs => {
        const count = begun.filter(
          atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS,
        ).length;
        assert.ok(count <= most, `${count} at ${perSecond}, ${takeoverMs}`);
      });
      assert.ok(begun.length > 0);
    }),
  );
});

/** Loads as fast as a store takes them that carries `carried` at full speed. */
class StorePlay {
  readonly loads = new StoreLoads();
  mostAtOnce = 0;
  ended = 0;
  private begun = 0;
  private readonly leftMs = new Map<string, number>();

  constructor(
    private readonly carried: number,
    private readonly loadMs: number,
  ) {}

  run(forMs: number): this {
    for (let nowMs = 0; nowMs < forMs; nowMs += STEP_MS) {
      const shareMs =
        STEP_MS * Math.min(1, this.carried / Math.max(1, this.leftMs.size));
      this.leftMs.forEach((leftMs, id) =>
        this.leftMs.set(id, leftMs - shareMs),
      );
      if (nowMs % HEARTBEAT_MS === 0) this.tell(nowMs);
      while (this.loads.mayBegin(PLENTY_PER_SECOND, nowMs)) this.begin(nowMs);
    }
    return this;
  }

  private begin(nowMs: number): void {
    this.begun += 1;
    const id = `e${this.begun}`;
    this.loads.noteBegun(id, 'm', this.loadMs, nowMs);
    this.leftMs.set(id, this.loadMs);
    this.mostAtOnce = Math.max(this.mostAtOnce, this.leftMs.size);
  }

  /** Engines tell what they hold with their heartbeats. */
  private tell(nowMs: number): void {
    this.leftMs.forEach((leftMs, id) => {
      if (leftMs > 0) return this.loads.noteHeld(id, ['other'], nowMs);
      this.loads.noteHeld(id, ['other', 'm'], nowMs);
      this.leftMs.delete(id);
      this.ended += 1;
    });
  }
}

const HEARTBEAT_MS = 1_200;
const PLENTY_PER_SECOND = 44;

/*
 * Callers are refused for a minute, since engines that could have swapped for
 * them load from a store which carries one load at full speed: four at once took
 * four times as long, and none had ended when the callers had left.
 */
test('loads that slow each other go one after the other', () => {
  const play = new StorePlay(1, 13_200).run(120_000);
  assert.is(play.loads.mostAtOnce, 1);
  assert.is(play.mostAtOnce, 2);
  assert.ok(play.ended >= 7, `${play.ended} ended`);
});

test('as many go at once as have gone at full speed', () => {
  const play = new StorePlay(4, 6_000).run(60_000);
  assert.ok(play.loads.mostAtOnce >= 3, `${play.loads.mostAtOnce}`);
  assert.ok(play.mostAtOnce <= 6, `${play.mostAtOnce}`);
});

test('a load that is told of at once, or never, teaches nothing', () => {
  const loads = new StoreLoads();
  loads.noteBegun('e1', 'm', 6_000, 0);
  loads.noteHeld('e1', ['m'], 1_000);
  assert.is(loads.mostAtOnce, 2);
  loads.noteBegun('e1', 'm', 6_000, 1_000);
  loads.noteBegun('e2', 'm', 6_000, 1_000);
  assert.not(loads.mayBegin(PLENTY_PER_SECOND, 10_000));
  assert.ok(loads.mayBegin(PLENTY_PER_SECOND, 100_000));
});

/*
 * Engines name a model as soon as they begin to load it. Each load is taken for
 * ended, more are begun on top, and all of them slow each other.
 */
test('loads that are told of while they go on still count', () => {
  const loads = new StoreLoads();
  ['e1', 'e2'].forEach(id => {
    loads.noteBegun(id, 'm', 6_000, 0);
    loads.noteHeld(id, ['m'], 1_000);
  });
  assert.not(loads.mayBegin(PLENTY_PER_SECOND, 5_900));
  assert.ok(loads.mayBegin(PLENTY_PER_SECOND, 6_100));
});

test.run();
