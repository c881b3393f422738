import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BatchWorthPolicy} from './policies.js';
import {type Decision, type ScheduledRequest} from './scheduled_request.js';
import {ModelScheduler} from './scheduler.js';
import {
  SchedulerSimulation,
  makeEngine,
  makeRequest,
  makeService,
} from './scheduler_fixture.js';

const test = suite('streams that need one software version');

type Engine = ReturnType<typeof makeEngine>;

function makeVersioned(
  softwareVersion: string,
  ...terms: Parameters<typeof makeEngine>
): Engine {
  return {...makeEngine(...terms), softwareVersion};
}

function makeScheduler(engines: readonly Engine[]): ModelScheduler {
  const scheduler = new ModelScheduler({policy: new BatchWorthPolicy()});
  scheduler.configure([makeService()]);
  engines.forEach(engine => {
    scheduler.putEngine(engine, 0);
    scheduler.recordReport(
      engine.id,
      {
        ...{startedAtMs: null, orderCount: 0, isBusy: false},
        residents: engine.residents.map(({model}) => ({model, adapters: []})),
      },
      0,
    );
  });
  return scheduler;
}

function makeResumed(askId: string, softwareVersion: string): ScheduledRequest {
  return {...makeRequest(askId, 'hot', 0), softwareVersion};
}

function describe(decision: Decision): string {
  switch (decision.kind) {
    case 'assign':
      return `${decision.askId} to ${decision.engineId}`;
    case 'refuse':
      return `${decision.askId} refused: ${decision.reason}`;
    case 'order': {
      const {operation, model, engineId} = decision.order;
      return `${operation} ${model} at ${engineId}`;
    }
  }
}

// Guards against a stream that goes on at a version that did not begin it.
test('a resumed stream waits for an engine of its version', () => {
  const full = makeVersioned('v2', 'e2', ['hot']);
  const scheduler = makeScheduler([makeVersioned('v1', 'e1', ['hot']), full]);
  Array.from({length: 32}, (_, at) =>
    scheduler.recordRunning(makeRequest(`run${at}`, 'hot', 0), 'e2', 0),
  );
  scheduler.enqueue(makeResumed('r1', 'v2'), 0);
  assert.equal(scheduler.decide(0).map(describe), []);
  Array.from({length: 32}, (_, at) =>
    scheduler.recordEnd(`run${at}`, 'e2', 'served', 30, 10),
  );
  assert.equal(scheduler.decide(20).map(describe), ['r1 to e2']);
});

// Guards against a stream that is lost since only other versions hold its model.
test('a model is loaded at the version of a resumed stream', () => {
  const scheduler = makeScheduler([
    makeVersioned('v1', 'e1', ['hot']),
    makeVersioned('v2', 'e2', ['other'], ['hot', 'other']),
  ]);
  scheduler.enqueue(makeResumed('r1', 'v2'), 0);
  assert.equal(scheduler.decide(0).map(describe), ['load hot at e2']);
});

// Guards against a load for a resumed stream that is left out since another version is
// loading the model already.
test('a load at one version does not hold back one at another', () => {
  const scheduler = makeScheduler([
    makeVersioned('v1', 'e1', ['other'], ['hot', 'other']),
    makeVersioned('v2', 'e2', ['other'], ['hot', 'other']),
  ]);
  scheduler.enqueue(makeResumed('r1', 'v1'), 0);
  scheduler.enqueue(makeResumed('r2', 'v2'), 0);
  const orders = scheduler.decide(0).map(describe).sort();
  assert.equal(orders, ['load hot at e1', 'load hot at e2']);
});

// Guards against a caller who waits for a version that does not come back.
test('a stream is refused at once when its version is gone', () => {
  const leaving = {
    ...makeVersioned('v2', 'e2', ['hot']),
    state: 'draining' as const,
  };
  const scheduler = makeScheduler([
    makeVersioned('v1', 'e1', ['hot']),
    leaving,
  ]);
  scheduler.enqueue(makeResumed('r1', 'v2'), 0);
  assert.equal(scheduler.decide(0).map(describe), ['r1 refused: version-gone']);
});

// Guards against streams of an engine that has restarted at another version under its id.
test('an engine of another version under the same id is a new one', () => {
  const scheduler = makeScheduler([
    makeVersioned('v1', 'e1', ['hot']),
    makeVersioned('v1', 'e2', ['hot']),
  ]);
  scheduler.putEngine(makeVersioned('v2', 'e1', []), 10);
  scheduler.enqueue(makeResumed('r1', 'v1'), 20);
  assert.equal(scheduler.decide(20).map(describe), ['r1 to e2']);
});

// Guards against streams that are lost with their engine although they could have begun
// where another engine of the same version has the model.
test('a stream begins where another engine could continue it', () => {
  const scheduler = makeScheduler([
    makeVersioned('v2', 'e1', ['hot']),
    makeVersioned('v1', 'e2', ['hot']),
    makeVersioned('v1', 'e3', ['other'], ['hot', 'other']),
  ]);
  scheduler.enqueue(makeRequest('r1', 'hot', 0), 0);
  assert.equal(scheduler.decide(0).map(describe), ['r1 to e2']);
});

// Guards against a spare copy of a popular model that can't continue any of its streams.
test('a spare copy is loaded at the version that has a copy', () => {
  const makeSpec = (
    version: string,
    id: string,
    held: readonly string[],
  ): Engine => makeVersioned(version, id, held);
  const simulation = new SchedulerSimulation([
    makeSpec('v1', 'e1', ['hot', 'warm', 'other']),
    makeSpec('v2', 'e2', ['hot', 'warm', 'other']),
    makeSpec('v2', 'e3', ['rare', 'warm', 'other']),
  ]);
  simulation.run(5_000, {hot: 4});
  const loads = simulation.loads.map(({engineId, model}) => [engineId, model]);
  assert.equal(loads, [['e3', 'hot']]);
});

test.run();
