import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MemoryBudget} from './memory_budget.js';
import {MemoryHolding} from './memory_holding.js';
import {findMemoryLimitBytes} from './memory_limit.js';

const test = suite('memory budget');

const MB = 1_048_576;

function admit(budget: MemoryBudget, bodyBytes = 0, nowMs = 0): MemoryHolding {
  const admitted = budget.admit(bodyBytes, nowMs);
  assert.instance(admitted, MemoryHolding);
  return admitted as MemoryHolding;
}

/** A budget of 4 MB whose callers have not read so much of their responses. */
function makeBudget(...unsentBytes: number[]) {
  const budget = new MemoryBudget(4 * MB);
  const holdings = unsentBytes.map(bytes => {
    const holding = admit(budget);
    holding.set('unsent', bytes, 0);
    return holding;
  });
  return {budget, holdings};
}

// Guards against memory that stays counted after its request, or is counted twice.
test('what is used is the sum of what open requests hold', () => {
  const step = fc.record({
    at: fc.nat(9),
    kind: fc.constantFrom('body', 'held-back', 'unsent', 'close' as const),
    bytes: fc.nat(MB),
  });
  fc.assert(
    fc.property(fc.array(step), steps => {
      const budget = new MemoryBudget(1_000 * MB);
      const holdings = Array.from({length: 10}, () => admit(budget));
      steps.forEach(({at, kind, bytes}, nowMs) => {
        const holding = holdings[at] as MemoryHolding;
        if (kind === 'close') holding.close(nowMs);
        else holding.set(kind, bytes, nowMs);
      });
      const sum = holdings.reduce((total, {bytes}) => total + bytes, 0);
      assert.is(budget.usedBytes, sum);
      holdings.forEach(holding => holding.close(0));
      assert.is(budget.usedBytes, 0);
    }),
  );
});

// Guards against bodies that together are larger than the limit.
test('admitted bodies never exceed the limit, but one alone is admitted', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(2 * MB), {minLength: 1}), bodies => {
      const budget = new MemoryBudget(MB);
      const admitted = bodies.map(bytes => budget.admit(bytes, 0));
      assert.instance(admitted[0], MemoryHolding);
      assert.ok(budget.usedBytes <= Math.max(MB, (bodies[0] ?? 0) + MB / 32));
    }),
  );
});

// Guards against a body of undeclared length that grows beyond the limit.
test('a body that grows beyond the limit is refused', () => {
  const {budget} = makeBudget(3 * MB);
  const holding = admit(budget);
  assert.is(budget.growBody(holding, 0.5 * MB, 0), null);
  assert.ok((budget.growBody(holding, 2 * MB, 0)?.retryAfterMs ?? 0) >= 2_000);
  assert.is(holding.bytesOf('body'), 0.5 * MB);
});

// Guards against refused callers that all return at the same moment.
test('refused callers are told different times', () => {
  const {budget} = makeBudget(4 * MB);
  const times = [1, 2, 3].map(() => {
    const refusal = budget.admit(0, 0);
    return 'retryAfterMs' in refusal ? refusal.retryAfterMs : 0;
  });
  assert.is(new Set(times).size, 3);
  assert.ok(times.every(ms => ms >= 2_000 && ms < 2_700));
});

// Guards against pauses of callers that hold little, or of all.
test('under pressure those that hold the most for the longest are paused', () => {
  const {budget, holdings} = makeBudget(0.2 * MB, 2 * MB, MB);
  budget.review(1_000);
  const listPaused = () => holdings.map(({isPaused}) => isPaused);
  assert.equal(listPaused(), [false, true, false]);
  holdings[2]?.close(1_000);
  assert.equal(listPaused(), [false, false, false]);
});

// Guards against callers that are cut off although memory is left, or although they
// read, or before they had 2 s.
test('only callers that read nothing for 2 s at the limit are cut off', () => {
  const {budget, holdings} = makeBudget(1.5 * MB, 1.4 * MB);
  const cutOffAt = (nowMs: number) =>
    budget.review(nowMs).cutOff.map(holding => holdings.indexOf(holding));
  assert.equal(cutOffAt(9_000), []);
  const body = admit(budget, MB, 10_000);
  body.close(10_500);
  admit(budget, MB, 11_000);
  assert.ok('retryAfterMs' in budget.admit(MB, 11_000));
  assert.equal(cutOffAt(12_900), []);
  holdings[0]?.recordRead(12_900);
  assert.equal(cutOffAt(13_000), [1]);
});

// Guards against callers that are cut off after others have made enough room.
test('no more callers are cut off than it takes to end the pressure', () => {
  const {budget, holdings} = makeBudget(0.5 * MB, 2.5 * MB, MB);
  const {cutOff} = budget.review(2_000);
  assert.equal(cutOff, [holdings[1]]);
  holdings[1]?.close(2_000);
  assert.not(budget.isExhausted);
});

// Guards against responses without end that fill the memory, and against small ones that are
// given up for them.
test('a response that holds back more than its share is given up at the limit', () => {
  const budget = new MemoryBudget(4 * MB);
  const [large, small] = [admit(budget), admit(budget)] as const;
  assert.ok(budget.holdBack(large, 3.8 * MB, 0));
  assert.not(budget.holdBack(large, 4 * MB, 0));
  assert.ok(budget.holdBack(small, 0.5 * MB, 0));
  assert.is(large.bytesOf('held-back'), 3.8 * MB);
  assert.ok(budget.holdBack(large, 0, 0));
});

test('the limit is a quarter of the host, at least 16 MB', () => {
  assert.is(findMemoryLimitBytes(400), 100 * MB);
  assert.is(findMemoryLimitBytes(40), 16 * MB);
});

test.run();
