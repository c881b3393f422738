import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type ShareScenario,
  ShareSimulation,
  findInTimeFraction,
  listBurst,
  listRefusalWaitsMs,
} from './share_scenario_fixture.js';

const test = suite('teams that share four engines');

const SMALL = ['north', 'south', 'west'];
const AT_SHARE = {north: 16, south: 16, west: 16, large: 160};
/** Within the shares of three engines. */
const BELOW_SHARE = {north: 12, south: 12, west: 12, large: 120};

const SCENARIOS: Readonly<Record<string, ShareScenario>> = {
  'all engines': {perSecond: AT_SHARE},
  'two models': {perSecond: AT_SHARE, models: ['hot', 'warm']},
  'an engine is lost': {perSecond: BELOW_SHARE, lostAtMs: 5_000},
  'a new scheduler': {perSecond: AT_SHARE, takeoverAtMs: 5_000},
};

const PLAYED = Object.entries(SCENARIOS).map(
  ([name, scenario]) => [name, new ShareSimulation(scenario).run()] as const,
);

const checkEach = (check: (name: string, played: ShareSimulation) => void) =>
  PLAYED.forEach(([name, played]) => check(name, played));

// Guards against small teams that pay for the burst of another.
test('teams at their share are served in time', () => {
  checkEach((name, played) =>
    SMALL.forEach(team => {
      const own = listBurst(played).filter(asked => asked.team === team);
      const fraction = findInTimeFraction(own);
      assert.ok(fraction >= 0.95, `${name}, ${team}: ${fraction}`);
    }),
  );
});

// Guards against urgent requests that are refused for less urgent ones of their team.
test('an urgent kind is not served less often than a less urgent one', () => {
  checkEach((name, played) =>
    [...SMALL, 'large'].forEach(team => {
      const own = listBurst(played).filter(asked => asked.team === team);
      const [urgent, other] = [true, false].map(isUrgent =>
        findInTimeFraction(
          own.filter(({request}) => (request.priority === 0) === isUrgent),
        ),
      );
      assert.ok((urgent ?? 0) >= (other ?? 1), `${name}, ${team}`);
    }),
  );
});

// Guards against shares that are kept free for teams that do not use them.
test('the capacity is used', () => {
  checkEach((name, played) =>
    assert.ok(played.utilization >= 0.9, `${name}: ${played.utilization}`),
  );
});

// Guards against callers that wait for a refusal that was certain on arrival.
test('refusals that are known at once come at arrival', () => {
  checkEach((name, played) => {
    const waitsMs = listRefusalWaitsMs(listBurst(played));
    // A new scheduler has no data until the first responses have ended.
    const isNew = name === 'a new scheduler';
    const [maxLate, maxMs] = isNew ? [0.15, 1_000] : [0.05, 700];
    const late = waitsMs.filter(waitMs => waitMs > 100).length;
    assert.ok(waitsMs.length > 100, `${name}: ${waitsMs.length} refused`);
    assert.ok((waitsMs[waitsMs.length >> 1] ?? 0) <= 20, name);
    // What becomes certain later is refused when the request can no longer be on time.
    const longestMs = waitsMs[Math.floor(0.99 * waitsMs.length)] ?? 0;
    assert.ok(longestMs <= maxMs, `${name}: ${longestMs} ms`);
    assert.ok(late <= maxLate * waitsMs.length, `${name}: ${late} late`);
  });
});

test.run();
