import {type TeamQuota} from '@mimosatack/types';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type QuotaBounds, findTolerance} from './quota_bounds.js';
import {QuotaFleet} from './quota_fleet_fixture.js';

const test = suite('quotas under any order of events');

const NODES = 20;
const BOUNDS: QuotaBounds = {windowMs: 8_000, overage: 0.1, slack: 17_000};
const QUOTA: TeamQuota = {
  ...{unit: 'tokens', ratePerSecond: 20_000, burst: 20_000},
  plainTokens: 200,
};
const STEP_MS = 250;
const RUNS = 200;

const steps = fc.array(
  fc.record({
    kind: fc.constantFrom(
      ...(['hold', 'lose', 'restart', 'cut', 'heal', 'lost-replies'] as const),
      ...(['burst', 'burst', 'burst', 'usual', 'quiet'] as const),
    ),
    at: fc.nat({max: NODES - 1}),
  }),
  {minLength: 20, maxLength: 80},
);

type Step = (typeof steps extends fc.Arbitrary<infer T> ? T : never)[number];

/** Tokens that one step may send, at all nodes. */
const SENT: Partial<Record<Step['kind'], number>> = {
  burst: 60_000,
  usual: 3_000,
};
const REQUEST_TOKENS = 1_100;

function takeStep(fleet: QuotaFleet, {kind, at}: Step): void {
  if (kind === 'hold') fleet.hold(at);
  if (kind === 'lose') fleet.hold(null);
  if (kind === 'restart') fleet.restart(at);
  // A third of the nodes at most is apart from the others at any time.
  if (kind === 'cut') fleet.setCut(at % (NODES / 4), true);
  if (kind === 'heal') fleet.setCut(at % (NODES / 4), false);
  const requests = Math.floor((SENT[kind] ?? 0) / REQUEST_TOKENS);
  Array.from({length: requests}, (_, number) =>
    number % 5 === 0
      ? fleet.sendPlain(at + number, QUOTA.plainTokens)
      : fleet.sendAsking(at + number, REQUEST_TOKENS),
  );
  fleet.greet(kind === 'lost-replies');
  fleet.clock.advance(STEP_MS);
}

/**
 * Nodes that nobody hears may each spend one request beyond their share, and the
 * last holder's charges of one heartbeat are lost with it.
 */
test('no window holds more than the quota and its tolerance', () => {
  const quota = QUOTA.ratePerSecond * 8 + QUOTA.burst;
  const bound = quota + findTolerance(QUOTA, BOUNDS);
  fc.assert(
    fc.property(steps, taken => {
      const fleet = new QuotaFleet({
        ...{nodeCount: NODES, quota: QUOTA, bounds: BOUNDS},
      });
      fleet.clock.advance(3_000);
      fleet.hold(NODES - 1);
      fleet.greet();
      taken.forEach(step => takeStep(fleet, step));
      const most = fleet.findMostInWindow();
      assert.ok(most <= bound, `${most} of ${bound}`);
    }),
    {numRuns: RUNS, seed: 1},
  );
});

test.run();
