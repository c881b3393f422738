/** What requests that crash servers cost, over many orders of events. */
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type FleetOutcome,
  type FleetPlay,
  VirtualFleet,
} from './virtual_fleet.js';

const test = suite('a fleet under requests that crash servers');

const SEEDS = Array.from({length: 12}, (_, at) => at + 1);
/** Sends that are allowed once all nodes can know, over all nodes. */
const MAX_LATE_RUNS = 3;

function playAll(play: Omit<FleetPlay, 'random'>): FleetOutcome[] {
  return SEEDS.map(seed =>
    new VirtualFleet({...play, random: new SeededRandom(seed)}).play(),
  );
}

const SMALL = {
  ...{nodes: 8, servers: 10, batch: 12, durationMs: 10_000},
  ...{otherGapMs: 20, badGapMs: 400},
};
const WIDE_BATCHES = {...SMALL, nodes: 7, servers: 6, batch: 64};
const LARGE = {...SMALL, nodes: 72, servers: 50, otherGapMs: 10};

/*
 * One bad request comes to all nodes in turn. Servers end and cut all that they
 * ran; these come again and may meet it a second time.
 */
[SMALL, WIDE_BATCHES, LARGE].forEach(fleet => {
  const {servers, batch} = fleet;
  const where = `${servers} servers, batches of ${batch}`;

  test(`one bad request ends few servers and is known: ${where}`, () => {
    playAll({...fleet, badBodies: 1}).forEach(outcome => {
      assert.ok(outcome.crashes <= 5, JSON.stringify(outcome));
      assert.is(outcome.mostLateRuns, 0);
    });
  });

  test(`eight at once are each sent to no server once known: ${where}`, () => {
    playAll({...fleet, badBodies: 8}).forEach(outcome =>
      assert.ok(outcome.mostLateRuns <= MAX_LATE_RUNS, JSON.stringify(outcome)),
    );
  });
});

/*
 * A caller's stream was on an engine that a bad request ended, is resumed, and is
 * cut again. It has crashed nothing and must not be refused for it.
 */
test('of those that crash nobody, one in a thousand is contained at most', () => {
  const outcomes = [SMALL, WIDE_BATCHES, LARGE].flatMap(fleet =>
    playAll({...fleet, badBodies: 1}),
  );
  const others = outcomes.reduce((sum, outcome) => sum + outcome.others, 0);
  const contained = outcomes.reduce(
    (sum, outcome) => sum + outcome.containedOthers,
    0,
  );
  assert.ok(contained <= others / 1_000, `${contained} of ${others}`);
});

test.run();
