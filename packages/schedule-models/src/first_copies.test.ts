import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  STORE_LOAD_MS,
  type StoreScenario,
  StoreSimulation,
} from './store_scenario_fixture.js';

const test = suite('models without a copy');

const POPULAR = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6'];
const RARE = ['r1', 'r2', 'r3', 'r4', 'r5', 'r6'];
const RARE_EVERY_MS = 6_000;

/** Rare models that no engine holds, beside popular ones with a copy each. */
function makeScenario(changes: Partial<StoreScenario> = {}): StoreScenario {
  const everyMs: Record<string, Record<string, number>> = {};
  POPULAR.forEach(model => (everyMs[model] = {north: 400}));
  RARE.forEach((model, at) => {
    everyMs[model] = {[`team${at}`]: RARE_EVERY_MS};
  });
  return {
    held: {e1: ['p1', 'p2', 'p3'], e2: ['p4', 'p5', 'p6'], e3: [], e4: []},
    ...{everyMs, hasShares: true, fullSpeedLoads: 2},
    ...changes,
  };
}

// Guards against further copies of popular models that take all loads of the store.
test('every other load is for a first copy, with and without shares', () => {
  [true, false].forEach(hasShares => {
    const sim = new StoreSimulation(makeScenario({hasShares})).run(100_000);
    const first = sim.listLoaded().slice(0, 2 * RARE.length);
    const rare = first.filter(model => RARE.includes(model));
    assert.is(new Set(rare).size, RARE.length, `${hasShares}: ${first.join()}`);
  });
});

// Guards against loads that were never begun and count as under way for as long as ten of them take.
test('a load that its engine has not begun frees its place', () => {
  ['unknown' as const, 'replaced' as const].forEach(outcome => {
    const sim = new StoreSimulation(
      makeScenario({
        everyMs: {r1: {north: 3_000}, r2: {south: 3_000}},
        held: {e1: [], e2: []},
        findOutcome: ({operation, engineId}) =>
          operation === 'load' && ['e1', 'e2'].includes(engineId)
            ? outcome
            : null,
        leavingAtMs: {e1: 3_500, e2: 3_500},
        addedAtMs: {e3: 3_500, e4: 3_500},
      }),
    ).run(3 * STORE_LOAD_MS);
    ['r1', 'r2'].forEach(model => {
      const unservedMs = sim.findUnservedMs(model);
      assert.ok(
        unservedMs <= 1.5 * STORE_LOAD_MS,
        `${outcome}, ${model}: ${unservedMs} ms`,
      );
    });
  });
});

// Guards against a successor that takes the loads of its predecessor for a slow store, and that
// loads the same models again.
test('a successor waits for the loads that are under way', () => {
  const scenario = makeScenario({takeoversAtMs: [9_000, 12_000]});
  const sim = new StoreSimulation(scenario).run(40_000);
  const loaded = sim.listLoaded();
  assert.equal(loaded, [...new Set(loaded)]);
  assert.ok(sim.ends.every(({limit}) => limit >= scenario.fullSpeedLoads));
});

/** Models that an engine holds at a time. */
const ENGINE_CAPACITY = 3;
/** Until an end is known, the next load is chosen and a victim is unloaded. */
const BETWEEN_LOADS_MS = 2_000;

/** How long a model may go unserved that is asked for every `RARE_EVERY_MS`. */
function findBoundMs({fullSpeedLoads, ...scenario}: StoreScenario): number {
  const lost = Object.keys(scenario.lostAtMs ?? {}).length;
  const restarts = (scenario.takeoversAtMs ?? []).length;
  const models = RARE.length + lost * ENGINE_CAPACITY;
  const rounds = Math.ceil((2 * models) / fullSpeedLoads) + 1 + lost + restarts;
  return RARE_EVERY_MS + rounds * (STORE_LOAD_MS + BETWEEN_LOADS_MS);
}

const scenarios = fc.record({
  hasShares: fc.boolean(),
  fullSpeedLoads: fc.integer({min: 1, max: 4}),
  lostAtMs: fc.constantFrom<Record<string, number>>(
    {},
    {e3: 14_000},
    {e3: 21_000, e4: 32_000},
  ),
  takeoversAtMs: fc.constantFrom([], [9_000], [12_000, 27_000]),
  unansweredUntilMs: fc.constantFrom(0, 9_000),
});

// Guards against models that are asked for throughout and never served, whatever other models do.
test('each model without a copy is served within a bound', () => {
  fc.assert(
    fc.property(scenarios, ({unansweredUntilMs, ...drawn}) => {
      const scenario = makeScenario({
        ...drawn,
        addedAtMs: {e5: 16_000, e6: 23_000},
        // Every other load order in the first seconds is lost.
        findOutcome: ({operation}, nowMs) =>
          operation === 'load' && nowMs < unansweredUntilMs && nowMs % 20 === 0
            ? 'unknown'
            : null,
      });
      const boundMs = findBoundMs(scenario);
      const sim = new StoreSimulation(scenario).run(boundMs + RARE_EVERY_MS);
      RARE.forEach(model => {
        const unservedMs = sim.findUnservedMs(model);
        assert.ok(unservedMs <= boundMs, `${model}: ${unservedMs} ms`);
      });
    }),
    {numRuns: 12, seed: 90},
  );
});

test.run();
