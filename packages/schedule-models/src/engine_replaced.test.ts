import {
  ENGINE_SERVICE,
  makeEngineEntry,
  makeEngineService,
} from '@mimosatack/fakes';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BatchWorthPolicy} from './policies.js';
import {type Decision, type OrderOutcome} from './scheduled_request.js';
import {ModelScheduler} from './scheduler.js';

const test = suite('orders that an engine refuses');

/**
 * Requests a model that the engine has on disk; all orders have this outcome.
 */
function simulate(outcome: OrderOutcome, forMs: number) {
  const scheduler = new ModelScheduler({policy: new BatchWorthPolicy()});
  scheduler.configure([makeEngineService()]);
  const entry = {
    ...makeEngineEntry('e1'),
    residents: [],
    near: {inHostMemory: [], onDisk: ['m0']},
  };
  scheduler.putEngine(entry, 0);
  scheduler.enqueue(
    {
      ...{askId: 'r1', service: ENGINE_SERVICE, model: 'm0', adapter: null},
      ...{promptTokens: 100, outputTokens: 10, priority: 0, arrivedAtMs: 0},
      gapMs: 300,
      ...{dueAtMs: 2_000, endsAtMs: 8_000, excluded: new Set()},
      ...{allowed: null, softwareVersion: null, team: null, nodeId: 'n1'},
    },
    0,
  );
  const report = {
    startedAtMs: null,
    orderCount: 0,
    isBusy: false,
    residents: [],
  };
  const decisions: Decision[] = [];
  for (let nowMs = 0; nowMs < forMs; nowMs += 10) {
    scheduler
      .listEnginesToQuery(nowMs)
      .forEach(id => scheduler.recordReport(id, report, nowMs));
    const decided = scheduler.decide(nowMs);
    decisions.push(...decided);
    decided
      .flatMap(decision => (decision.kind === 'order' ? [decision.order] : []))
      .forEach(order => scheduler.recordOrderOutcome(order, outcome, nowMs));
  }
  return {
    orders: decisions.filter(({kind}) => kind === 'order').length,
    refusals: decisions.filter(({kind}) => kind === 'refuse').length,
  };
}

/*
 * Guards against repeated orders to an engine that was replaced at its address
 * while its old entry is still listed.
 */
test('an engine that was replaced receives no more orders', () => {
  assert.is(simulate('replaced', 4_000).orders, 1);
});

test('requests do not wait for an engine that was replaced', () => {
  assert.is(simulate('replaced', 200).refusals, 1);
});

/* Guards against a tight loop of orders that the engine refuses. */
test('a refused order is not repeated at once', () => {
  assert.ok(simulate('refused', 2_000).orders <= 10);
});

test.run();
