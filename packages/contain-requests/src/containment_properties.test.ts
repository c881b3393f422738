/** Guards against many crashes by one request, over many orders of events. */
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type FleetOutcome,
  type FleetScenario,
  VirtualFleet,
} from './virtual_fleet.js';

const test = suite('containment in a simulated fleet');

const SEEDS = Array.from({length: 12}, (_, at) => at + 1);
/** Sends of one body over all nodes once all can know of its third crash. */
const MAX_LATE_RUNS = 3;

function simulateAll(scenario: Omit<FleetScenario, 'random'>): FleetOutcome[] {
  return SEEDS.map(seed =>
    new VirtualFleet({...scenario, random: new SeededRandom(seed)}).simulate(),
  );
}

const SMALL = {
  ...{nodes: 8, servers: 10, batch: 12, durationMs: 10_000},
  ...{harmlessGapMs: 20, crashingGapMs: 400},
};
const WIDE_BATCHES = {...SMALL, nodes: 7, servers: 6, batch: 64};
const LARGE = {...SMALL, nodes: 72, servers: 50, harmlessGapMs: 10};

/* Guards against resends that crash one server after another. */
[SMALL, WIDE_BATCHES, LARGE].forEach(fleet => {
  const {servers, batch} = fleet;
  const fleetSize = `${servers} servers, batches of ${batch}`;

  test(`few crashes contain a crashing request: ${fleetSize}`, () => {
    simulateAll({...fleet, crashingBodies: 1}).forEach(outcome => {
      assert.ok(outcome.crashes <= 5, JSON.stringify(outcome));
      assert.is(outcome.maxLateRuns, 0);
    });
  });

  test(`eight crashing requests are each contained: ${fleetSize}`, () => {
    simulateAll({...fleet, crashingBodies: 8}).forEach(outcome =>
      assert.ok(outcome.maxLateRuns <= MAX_LATE_RUNS, JSON.stringify(outcome)),
    );
  });
});

/* Guards against containing requests that ran beside a crashing one. */
test('at most one harmless request in a thousand is contained', () => {
  const outcomes = [SMALL, WIDE_BATCHES, LARGE].flatMap(fleet =>
    simulateAll({...fleet, crashingBodies: 1}),
  );
  const harmless = outcomes.reduce((sum, outcome) => sum + outcome.harmless, 0);
  const contained = outcomes.reduce(
    (sum, outcome) => sum + outcome.containedHarmless,
    0,
  );
  assert.ok(contained <= harmless / 1_000, `${contained} of ${harmless}`);
});

test.run();
