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
    while (loads.mayBegin(perSecond, LOAD_MS, nowMs)) {
      loads.noteBegun(nowMs);
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

test('no more than four are under way at once', () => {
  const loads = new StoreLoads();
  Array.from({length: 4}, () => loads.noteBegun(0));
  assert.not(loads.mayBegin(54, 6_000, 1_000));
  assert.ok(loads.mayBegin(54, 6_000, 6_000));
});

test.run();
