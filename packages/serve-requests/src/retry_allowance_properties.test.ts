import {ManualClock} from '@mimosatack/clock';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RetryAllowance} from './retry_allowance.js';

const test = suite('retry allowance under any order of events');

const BOUND = {ratio: 0.2, slack: 40, windowMs: 10_000};
const NODES = 4;
/** The environment variable raises the number of runs for long tests. */
const RUNS = Number(process.env['MIMOSATACK_PROPERTY_RUNS'] ?? 60);
const SEED = 20_261_203;

interface Step {
  node: number;
  requests: number;
  retries: number;
  passedMs: number;
}

const steps = fc.array(
  fc.record<Step>({
    node: fc.nat({max: NODES - 1}),
    requests: fc.nat({max: 40}),
    retries: fc.nat({max: 40}),
    passedMs: fc.nat({max: 3_000}),
  }),
  {maxLength: 80},
);

// Guards against bursts at few nodes that exceed the bound, which counts the requests
// of a window, the one before or the one half a window before.
test('no window holds more retries than the bound allows', () => {
  fc.assert(
    fc.property(steps, all => {
      const clock = new ManualClock();
      const nodes = Array.from(
        {length: NODES},
        () =>
          new RetryAllowance({
            ...{clock, bound: () => BOUND, findShare: () => 1 / NODES},
          }),
      );
      const requests: number[] = [];
      const retries: number[] = [];
      all.forEach(step => {
        const node = nodes[step.node];
        if (!node) return;
        for (let sent = 0; sent < step.requests; sent += 1) {
          node.recordRequest('s');
          requests.push(clock.monotonicMs());
        }
        for (let tried = 0; tried < step.retries; tried += 1) {
          if (node.trySpend('s')) retries.push(clock.monotonicMs());
        }
        clock.advance(step.passedMs);
      });
      retries.forEach(endMs => {
        const spent = countWithin(retries, endMs - BOUND.windowMs, endMs);
        const asked = Math.max(
          ...[0, BOUND.windowMs / 2, BOUND.windowMs].map(earlierMs => {
            const untilMs = endMs - earlierMs;
            return countWithin(requests, untilMs - BOUND.windowMs, untilMs);
          }),
        );
        assert.ok(
          spent <= BOUND.ratio * asked + BOUND.slack,
          `${spent} retries for ${asked} requests until ${endMs}`,
        );
      });
    }),
    {numRuns: RUNS, seed: SEED},
  );
});

function countWithin(
  times: readonly number[],
  afterMs: number,
  untilMs: number,
) {
  return times.filter(atMs => atMs > afterMs && atMs <= untilMs).length;
}

test.run();
