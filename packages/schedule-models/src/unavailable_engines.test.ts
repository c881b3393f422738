import {type AvailabilityReport} from '@mimosatack/track-availability';
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

function listOrders(decisions: readonly Decision[]): string[][] {
  return decisions.flatMap(decision => {
    if (decision.kind !== 'order') return [];
    return [[decision.order.engineId, decision.order.model]];
  });
}

function makePause(serverId: string, pauseMs: number): AvailabilityReport {
  return {serverId, startedAtMs: null, isLeaving: false, pauseMs};
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
  assert.equal(listOrders(scheduler.decide(0)), [['e2', 'hot']]);
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

// Guards against an idle engine that draws all requests since it rejects them.
test('a paused engine gets no request of the node until its pause ends', () => {
  const {scheduler} = createFixture([makeEngine('e1', ['hot'])]);
  scheduler.recordPause(makePause('e1', 1_000), 'n1', 0);
  scheduler.enqueue(makeRequest('r1', 'hot', 0), 0);
  assert.equal(scheduler.decide(0), []);
  assert.ok(scheduler.nextDecisionMs(0) <= 1_000);
  assert.equal(listAssigned(scheduler.decide(1_000)), ['e1']);
});

// Guards against each node learning by a rejected request what one was told.
test('an engine that is paused for one node is the last choice for others', () => {
  const engines = [makeEngine('e1', ['hot']), makeEngine('e2', ['hot'])];
  const {scheduler} = createFixture(engines);
  scheduler.recordPause(makePause('e1', 1_000), 'n2', 0);
  scheduler.enqueue(makeRequest('r1', 'hot', 0), 0);
  assert.equal(listAssigned(scheduler.decide(0)), ['e2']);
  scheduler.removeEngine('e2');
  scheduler.enqueue(makeRequest('r2', 'hot', 0), 0);
  assert.equal(listAssigned(scheduler.decide(0)), ['e1']);
});

// Guards against a request that waits for a pause longer than its caller does.
test('a request is refused at once when the pause ends too late', () => {
  const {scheduler} = createFixture([makeEngine('e1', ['hot'])]);
  scheduler.recordPause(makePause('e1', 6_000), 'n1', 0);
  scheduler.enqueue(makeRequest('r1', 'hot', 0), 0);
  assert.equal(scheduler.decide(0), [
    {kind: 'refuse', askId: 'r1', reason: 'no-room', retryAfterMs: 6_000},
  ]);
});

// Guards against callers that wait for a paused engine while another is idle.
test('a model that only a paused engine holds is loaded at another', () => {
  const {scheduler} = createFixture([
    makeEngine('e1', ['hot']),
    makeEngine('e2', ['other'], ['hot', 'other']),
  ]);
  scheduler.recordPause(makePause('e1', 60_000), 'n1', 0);
  scheduler.enqueue(makeRequest('r1', 'hot', 0), 0);
  assert.equal(listOrders(scheduler.decide(0)), [['e2', 'hot']]);
});

// Guards against an eviction for a load that ends after the pause.
test('no load is started for a pause that ends before it', () => {
  const {scheduler} = createFixture([
    makeEngine('e1', ['hot']),
    makeEngine('e2', ['other'], ['hot', 'other']),
  ]);
  scheduler.recordPause(makePause('e1', 20), 'n1', 0);
  scheduler.enqueue(makeRequest('r1', 'hot', 0), 0);
  assert.equal(listOrders(scheduler.decide(0)), []);
});

test('the pause of an earlier incarnation is ignored', () => {
  const engine = {...makeEngine('e1', ['hot']), startedAtMs: 2_000};
  const {scheduler} = createFixture([engine]);
  const pause = {...makePause('e1', 1_000), startedAtMs: 1_000};
  scheduler.recordPause(pause, 'n1', 0);
  scheduler.enqueue(makeRequest('r1', 'hot', 0), 0);
  assert.equal(listAssigned(scheduler.decide(0)), ['e1']);
});

test.run();
