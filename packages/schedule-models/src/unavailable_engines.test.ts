import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BatchWorthPolicy} from './policies.js';
import {type Decision} from './scheduled_request.js';
import {ModelScheduler} from './scheduler.js';
import {makeEngine, makeRequest, makeService} from './scheduler_fixture.js';

const test = suite('engines that are leaving or paused');

/** A scheduler with the given engines, which are all listed as ready. */
function createFixture(engines: ReturnType<typeof makeEngine>[]) {
  const leaving = new Set<string>();
  const scheduler = new ModelScheduler({
    policy: new BatchWorthPolicy(),
    isLeaving: ({id, startedAtMs}) => leaving.has(`${id} ${startedAtMs}`),
  });
  scheduler.configure([makeService()]);
  engines.forEach(engine => {
    scheduler.putEngine(engine, 0);
    scheduler.recordReport(
      engine.id,
      {
        ...{startedAtMs: engine.startedAtMs, orderCount: 0, isBusy: false},
        residents: engine.residents.map(({model}) => ({model, adapters: []})),
      },
      0,
    );
  });
  return {scheduler, leaving};
}

function listAssigned(decisions: readonly Decision[]): string[] {
  return decisions.flatMap(decision =>
    decision.kind === 'assign' ? [decision.engineId] : [],
  );
}

// Guards against assignments to a leaving engine whose entry still says ready.
test('a leaving engine gets no request', () => {
  const {scheduler, leaving} = createFixture([
    makeEngine('e1', ['hot']),
    makeEngine('e2', ['hot']),
  ]);
  leaving.add('e1 null');
  scheduler.enqueue(makeRequest('r1', 'hot', 0), 0);
  assert.equal(listAssigned(scheduler.decide(0)), ['e2']);
});

// Guards against requests that wait for an engine that does not come back.
test('a model that only a leaving engine holds is loaded at another', () => {
  const {scheduler, leaving} = createFixture([
    makeEngine('e1', ['hot']),
    makeEngine('e2', ['other'], ['hot', 'other']),
  ]);
  leaving.add('e1 null');
  scheduler.enqueue(makeRequest('r1', 'hot', 0), 0);
  const orders = scheduler
    .decide(0)
    .flatMap(decision => (decision.kind === 'order' ? [decision.order] : []));
  assert.equal(
    orders.map(({engineId, model}) => [engineId, model]),
    [['e2', 'hot']],
  );
});

test('a request that only a leaving engine could serve is refused at once', () => {
  const {scheduler, leaving} = createFixture([makeEngine('e1', ['hot'])]);
  leaving.add('e1 null');
  scheduler.enqueue(makeRequest('r1', 'hot', 0), 0);
  assert.equal(
    scheduler.decide(0).map(({kind}) => kind),
    ['refuse'],
  );
});

// Guards against an engine that stays out of use after it has started again.
test('an engine that has started again gets requests', () => {
  const engine = {...makeEngine('e1', ['hot']), startedAtMs: 1_000};
  const {scheduler, leaving} = createFixture([engine]);
  leaving.add('e1 1000');
  scheduler.putEngine({...engine, startedAtMs: 2_000}, 100);
  scheduler.enqueue(makeRequest('r1', 'hot', 100), 100);
  assert.equal(listAssigned(scheduler.decide(100)), ['e1']);
});

test.run();
