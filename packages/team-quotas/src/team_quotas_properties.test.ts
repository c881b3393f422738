import {type TeamQuota} from '@mimosatack/types';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type QuotaBounds, findTolerance} from './quota_bounds.js';
import {QuotaFleet} from './quota_fleet_fixture.js';

const test = suite('team quota properties under random events');

const NODE_COUNT = 20;
const BOUNDS: QuotaBounds = {windowMs: 8_000, overage: 0.1, slack: 17_000};
const QUOTA: TeamQuota = {
  ...{unit: 'tokens', ratePerSecond: 20_000, burst: 20_000},
  plainTokens: 200,
};
const STEP_MS = 250;
const RUNS = 200;

const stepLists = fc.array(
  fc.record({
    kind: fc.constantFrom(
      ...(['hold', 'lose', 'restart', 'cut', 'heal', 'lost-replies'] as const),
      ...(['burst', 'burst', 'burst', 'usual', 'quiet'] as const),
    ),
    node: fc.nat({max: NODE_COUNT - 1}),
  }),
  {minLength: 20, maxLength: 80},
);

type Step = (typeof stepLists extends fc.Arbitrary<infer T>
  ? T
  : never)[number];

/** Tokens that one step sends to all nodes together. */
const SENT_TOKENS: Partial<Record<Step['kind'], number>> = {
  burst: 60_000,
  usual: 3_000,
};
const REQUEST_TOKENS = 1_100;

function applyStep(fleet: QuotaFleet, {kind, node}: Step): void {
  if (kind === 'hold') fleet.setHolder(node);
  if (kind === 'lose') fleet.setHolder(null);
  if (kind === 'restart') fleet.restart(node);
  // At most a quarter of the nodes is partitioned at any time.
  if (kind === 'cut') fleet.setPartitioned(node % (NODE_COUNT / 4), true);
  if (kind === 'heal') fleet.setPartitioned(node % (NODE_COUNT / 4), false);
  const requests = Math.floor((SENT_TOKENS[kind] ?? 0) / REQUEST_TOKENS);
  Array.from({length: requests}, (_, number) =>
    number % 5 === 0
      ? fleet.sendToNode(node + number, QUOTA.plainTokens)
      : fleet.sendToHolder(node + number, REQUEST_TOKENS),
  );
  fleet.sendHeartbeats(kind === 'lost-replies');
  fleet.clock.advance(STEP_MS);
}

// Guards against excess spending by partitioned nodes, and after the loss of a
// holder with its latest charges.
test('no window exceeds the quota and its tolerance', () => {
  const quota = QUOTA.ratePerSecond * 8 + QUOTA.burst;
  const bound = quota + findTolerance(QUOTA, BOUNDS);
  fc.assert(
    fc.property(stepLists, steps => {
      const fleet = new QuotaFleet({
        ...{nodeCount: NODE_COUNT, quota: QUOTA, bounds: BOUNDS},
      });
      fleet.clock.advance(3_000);
      fleet.setHolder(NODE_COUNT - 1);
      fleet.sendHeartbeats();
      steps.forEach(step => applyStep(fleet, step));
      const most = fleet.findMaxInWindow();
      assert.ok(most <= bound, `${most} of ${bound}`);
    }),
    {numRuns: RUNS, seed: 1},
  );
});

test.run();
