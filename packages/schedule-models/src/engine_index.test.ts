import {makeEngineService} from '@mimosatack/fakes';
import {UNLIMITED} from '@mimosatack/share-limits';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EngineIndex} from './engine_index.js';
import {type EngineView} from './engine_view.js';
import {EngineViews} from './engine_views.js';
import {ModelCatalogue} from './model_catalogue.js';
import {PrefillSpeed} from './prefill_speed.js';
import {makeEngine} from './scheduler_fixture.js';

const test = suite('index of engines by model');

const MODELS = ['m0', 'm1', 'm2', 'm3', 'm4'];
const IDS = ['e0', 'e1', 'e2', 'e3'];

const model = fc.constantFrom(...MODELS);
const models = fc.uniqueArray(model, {maxLength: 3});

const step = fc.oneof(
  fc.record({
    kind: fc.constant('put' as const),
    id: fc.constantFrom(...IDS),
    held: models,
    near: models,
    startedAtMs: fc.constantFrom(null, 1_000, 9_000),
  }),
  fc.record({kind: fc.constant('drop' as const), id: fc.constantFrom(...IDS)}),
  fc.record({
    kind: fc.constant('report' as const),
    id: fc.constantFrom(...IDS),
    held: models,
  }),
  fc.record({
    kind: fc.constant('swap' as const),
    id: fc.constantFrom(...IDS),
    model,
  }),
);

/**
 * Connected as in the scheduler, which invalidates holders before it decides.
 */
function makeIndexed() {
  const views: EngineViews = new EngineViews({
    catalogue: new ModelCatalogue([makeEngineService()]),
    speed: new PrefillSpeed(),
    findLimiter: () => UNLIMITED,
    isLeaving: () => false,
    ordersBlockedUntilMs: () => -Infinity,
    onRemoved: () => undefined,
    onEnginesChanged: () => index.invalidate(),
  });
  const index = new EngineIndex(() => views.list());
  return {views, index};
}

/** A pending load from the store of a model that another engine has on its disk. */
function isHidden(
  engine: EngineView,
  name: string,
  all: readonly EngineView[],
): boolean {
  return (
    engine.findTier(name) === 'store' &&
    // A model that is not configured has no load time.
    engine.findLoadMs(name) > 0 &&
    all.some(other => other !== engine && other.findTier(name) !== 'store')
  );
}

/*
 * Guards against an index that differs from a full scan of the engines, in
 * content or in order: requests would then be sent to the wrong engines.
 */
test('lists the same engines as a full scan', () => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 25}), steps => {
      const {views, index} = makeIndexed();
      const filterAll = (
        holds: (engine: EngineView, name: string) => boolean,
      ) => MODELS.map(name => views.list().filter(one => holds(one, name)));
      steps.forEach(one => {
        const view = views.get(one.id);
        if (one.kind === 'put') {
          const entry = makeEngine(one.id, one.held, one.near);
          views.put({...entry, startedAtMs: one.startedAtMs}, 0);
        } else if (one.kind === 'drop') views.remove(one.id);
        else if (one.kind === 'swap') {
          if (view) view.swap = {model: one.model, victim: null};
        } else {
          const residents = one.held.map(name => ({model: name, adapters: []}));
          const counts = {
            startedAtMs: view?.startedAtMs ?? null,
            orderCount: 0,
          };
          views.recordReport(one.id, {...counts, isBusy: false, residents}, 0);
        }
        index.startDecision(0);
        const service = makeEngineService().name;
        assert.equal(
          MODELS.map(name =>
            index.listCaching(service, name).map(({id}) => id),
          ),
          filterAll((engine, name) => engine.findTier(name) !== 'store').map(
            list => list.map(({id}) => id),
          ),
        );
        assert.equal(
          MODELS.map(name =>
            index.listHolders(service, name).map(({id}) => id),
          ),
          filterAll(
            (engine, name) =>
              engine.residents.has(name) ||
              (engine.swap?.model === name &&
                !isHidden(engine, name, views.list())),
          ).map(list => list.map(({id}) => id)),
        );
      });
    }),
    {numRuns: 300, seed: 7},
  );
});

test.run();
