import {ServerLimiter} from '@mimosatack/share-limits';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BatchWorthPolicy} from './policies.js';
import {type Decision} from './scheduled_request.js';
import {ModelScheduler} from './scheduler.js';
import {makeEngine, makeRequest, makeService} from './scheduler_fixture.js';

const test = suite('engines that name a limit');

const STEP_MS = 20;

/** A scheduler with engines that hold `hot`, and limits by engine id. */
function makeScheduler(
  engineIds: readonly string[],
  limits: Readonly<Record<string, number>>,
  cachingIds: readonly string[] = [],
) {
  const scheduler = new ModelScheduler({
    policy: new BatchWorthPolicy(),
    limiter: new ServerLimiter({
      findLimit: ({id}) => limits[id] ?? null,
      findShare: () => 1,
    }),
  });
  scheduler.configure([makeService()]);
  const engines = [
    ...engineIds.map(id => makeEngine(id, ['hot'])),
    ...cachingIds.map(id => makeEngine(id, ['other'], ['hot', 'other'])),
  ];
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

/** Asks for `hot` steadily; each request ends at once. */
function serve(
  scheduler: ModelScheduler,
  durationMs: number,
  askedPerSecond: number,
): Decision[] {
  const decisions: Decision[] = [];
  let asked = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    for (; asked < (nowMs * askedPerSecond) / 1_000; asked += 1) {
      scheduler.enqueue(makeRequest(`r${asked}`, 'hot', nowMs), nowMs);
    }
    const now = scheduler.decide(nowMs);
    now.forEach(decision => {
      if (decision.kind !== 'assign') return;
      const {askId, engineId} = decision;
      scheduler.recordEnd(askId, engineId, 'served', 10, nowMs);
    });
    decisions.push(...now);
  }
  return decisions;
}

function countAssigned(decisions: readonly Decision[], id: string): number {
  return decisions.filter(
    decision => decision.kind === 'assign' && decision.engineId === id,
  ).length;
}

// Guards against work that waits at a limited engine while another has room.
test('work goes to an engine without a limit', () => {
  const scheduler = makeScheduler(['e1', 'e2'], {e1: 1});
  const decisions = serve(scheduler, 8_000, 10);
  assert.ok(countAssigned(decisions, 'e1') <= 9);
  assert.ok(countAssigned(decisions, 'e2') >= 70);
  assert.is(decisions.filter(({kind}) => kind === 'refuse').length, 0);
});

test('the limit of the only engine is used, and the rest refused at once', () => {
  const scheduler = makeScheduler(['e1'], {e1: 2});
  const decisions = serve(scheduler, 8_000, 10);
  const count = countAssigned(decisions, 'e1');
  assert.ok(count >= 13 && count <= 17, `${count}`);
  const refused = decisions.filter(({kind}) => kind === 'refuse');
  assert.ok(refused.length > 50);
  refused.forEach(decision =>
    assert.ok(decision.kind === 'refuse' && decision.retryAfterMs >= 500),
  );
});

// Guards against refusals as if each engine had to serve all that wait.
test('what waits is divided among the limited engines', () => {
  const ids = ['e1', 'e2', 'e3', 'e4'];
  const limits = Object.fromEntries(ids.map(id => [id, 1]));
  const scheduler = makeScheduler(ids, limits);
  for (let asked = 0; asked < 16; asked += 1) {
    const request = makeRequest(`r${asked}`, 'hot', 0);
    scheduler.enqueue({...request, endsAtMs: 10_000}, 0);
  }
  const decisions = [0, 1_000, 2_000, 3_000, 4_000].flatMap(nowMs =>
    scheduler.decide(nowMs),
  );
  assert.is(decisions.filter(({kind}) => kind === 'refuse').length, 0);
  assert.is(decisions.filter(({kind}) => kind === 'assign').length, 16);
});

test('the most urgent request gets the next place', () => {
  const scheduler = makeScheduler(['e1'], {e1: 1});
  const ask = (askId: string, priority: number) =>
    scheduler.enqueue(
      {...makeRequest(askId, 'hot', 0), priority, endsAtMs: 10_000},
      0,
    );
  ask('later', 5);
  ask('urgent', 0);
  assert.equal(scheduler.decide(0), []);
  const assigned = {kind: 'assign', engineId: 'e1'};
  assert.equal(scheduler.decide(1_000), [{...assigned, askId: 'urgent'}]);
  assert.equal(scheduler.decide(2_000), [{...assigned, askId: 'later'}]);
});

// Guards against callers that are refused while another engine could load the model.
test('a model held by a limited engine only is loaded at another', () => {
  const scheduler = makeScheduler(['e1'], {e1: 1, e3: 1}, ['e2', 'e3']);
  const orders = serve(scheduler, 1_000, 10).filter(
    decision => decision.kind === 'order',
  );
  assert.ok(orders.length > 0);
  orders.forEach(decision =>
    assert.is(decision.kind === 'order' && decision.order.engineId, 'e2'),
  );
});

test('the next decision is due when the limit leaves room', () => {
  const scheduler = makeScheduler(['e1'], {e1: 1});
  scheduler.decide(0);
  scheduler.enqueue(makeRequest('r1', 'hot', 0), 0);
  scheduler.decide(0);
  assert.is(scheduler.nextDecisionMs(0), 1_000);
});

test.run();
