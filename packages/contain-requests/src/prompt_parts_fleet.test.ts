/** Guards against blaming a wrong part of prompts, over many orders of events. */
import {SeededRandom} from '@mimosatack/random';
import {makePartSuspect} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type FleetScenario, VirtualFleet} from './virtual_fleet.js';

const test = suite('prompt parts in a simulated fleet');

const SEEDS = Array.from({length: 6}, (_, at) => at + 1);
const MAX_LATE_RUNS = 3;
/** Of the requests with other parts, over the whole time. */
const MIN_SERVED_SHARE = 0.5;
const COMMON_PART = makePartSuspect('5a');

const SMALL = {
  ...{nodes: 8, servers: 13, batch: 32, durationMs: 20_000},
  ...{harmlessGapMs: 30, crashingBodies: 0, crashingGapMs: 500},
  crashingFromMs: 5_000,
};
const FEW_SERVERS = {...SMALL, nodes: 7, servers: 6, batch: 64};
const LARGE = {
  ...{...SMALL, nodes: 72, servers: 50},
  ...{harmlessGapMs: 10, crashingGapMs: 80},
};

function simulateAll(scenario: Omit<FleetScenario, 'random'>) {
  return SEEDS.map(seed =>
    new VirtualFleet({...scenario, random: new SeededRandom(seed)}).simulate(),
  );
}

Object.entries({SMALL, FEW_SERVERS, LARGE}).forEach(([name, fleet]) => {
  // Guards against requests that no containment knows since no two are alike.
  [1, 2].forEach(crashingParts =>
    test(`${crashingParts} crashing parts are contained: ${name}`, () => {
      simulateAll({...fleet, crashingParts}).forEach(outcome => {
        const text = JSON.stringify(outcome);
        assert.ok(outcome.maxLatePartRuns <= MAX_LATE_RUNS, text);
        const {harmless, servedHarmless} = outcome;
        assert.ok(servedHarmless >= MIN_SERVED_SHARE * harmless, text);
      });
    }),
  );

  // Guards against the same while no node has served any request before.
  test(`crashing parts are contained from the start on: ${name}`, () => {
    const scenario = {...fleet, crashingParts: 2, crashingFromMs: 0};
    simulateAll(scenario).forEach(outcome => {
      const text = JSON.stringify(outcome);
      assert.ok(outcome.maxLatePartRuns <= MAX_LATE_RUNS, text);
      assert.not(outcome.containedHarmlessParts.includes(COMMON_PART), text);
    });
  });

  // Guards against refusing most requests for a part that crashes nothing.
  test(`the part that all prompts share is not contained: ${name}`, () => {
    [1, 2].forEach(crashingParts =>
      simulateAll({...fleet, crashingParts}).forEach(outcome =>
        assert.not(outcome.containedHarmlessParts.includes(COMMON_PART)),
      ),
    );
  });
});

test.run();
