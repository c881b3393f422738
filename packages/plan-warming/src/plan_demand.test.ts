import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {DemandTable} from './demand_table.js';
import {LoadTimeEstimates} from './load_time_estimates.js';
import {isDemandPlanDue, planDemand} from './plan_demand.js';
import {FixtureLog, MODEL_MIB, makeServers} from './test_fixtures.js';

const test = suite('demand planning');

const KEEP_WARM_MS = 60_000;

function setUp(serverMib = 4 * MODEL_MIB) {
  const servers = makeServers(1, 1, {memoryMib: serverMib});
  const log = new FixtureLog(servers, ['m1', 'm2']);
  const demand = new DemandTable();
  return {log, demand, plan};

  function plan(model: string, nowMs: number) {
    const {configuration, placement} = log.state;
    const document = configuration.find('model', model);
    const purpose = {for: 'demand' as const, model};
    if (!document) throw new Error(`There is no model ${model}.`);
    const planned = planDemand({
      model,
      content: document.content,
      demand: demand.find(model),
      held: placement.listForPurpose(purpose),
      idleSlots: placement.list().filter(slot => slot.model !== model),
      servers: log.listViews({}),
      loadTimes: new LoadTimeEstimates(),
      timetable: log.makeTimetable(),
      nowMs,
      makeSlotId: () => log.makeSlotId(),
    });
    const {decide, end, extend} = planned;
    const outcomes = [
      ...end.map(e => log.write({type: 'end-slots', ...e})),
      ...extend.map(e => log.write({type: 'extend-slots', ...e})),
    ];
    if (decide.length > 0) {
      outcomes.push(
        log.write({
          type: 'decide-slots',
          purpose,
          targetRevision: document.version,
          expectedPlan: placement.countPlans(purpose),
          slots: decide,
        }),
      );
    }
    assert.ok(outcomes.every(({status}) => status === 'valid'));
    return planned;
  }
}

test('plans one load for a burst of misses on many routers', () => {
  // Guards against overloading the weight store with one load per miss.
  const {log, demand, plan} = setUp();
  Array.from({length: 50}, () => demand.recordMiss('m1', 1_000));
  plan('m1', 1_000);
  demand.recordMiss('m1', 1_500);
  plan('m1', 1_500);
  const [slot, ...more] = log.state.placement.list();
  assert.is(slot?.loadAtMs, 1_000);
  assert.is(more.length, 0);
});

test('extends a slot in use and lets an unused one expire', () => {
  const {log, demand, plan} = setUp();
  demand.recordMiss('m1', 0);
  plan('m1', 0);
  demand.recordUse('m1', KEEP_WARM_MS / 2);
  const [extension] = plan('m1', KEEP_WARM_MS / 2).extend;
  assert.is(extension?.untilMs, 1.5 * KEEP_WARM_MS);
  assert.is(plan('m1', KEEP_WARM_MS).extend.length, 0);
  assert.is(log.state.placement.list().length, 1);
});

test('ends the slot of an idle model when another model needs memory', () => {
  const {log, demand, plan} = setUp(MODEL_MIB);
  demand.recordMiss('m1', 0);
  plan('m1', 0);
  demand.recordMiss('m2', 1);
  const short = plan('m2', 1);
  assert.ok(short.isUnplaced);
  assert.is(short.end[0]?.reason, 'idle');
  assert.is(plan('m2', 2).end.length, 0);
  log.releaseEnding();
  assert.is(plan('m2', 3).decide.length, 1);
});

test('loads a requested adapter with its base model', () => {
  const {demand, plan} = setUp();
  demand.recordMiss('m1:a', 0);
  assert.equal(plan('m1', 0).decide[0]?.adapters, ['a']);
});

test('is not due for a model without requests', () => {
  const {log, demand} = setUp();
  const content = log.state.configuration.find('model', 'm1')?.content;
  if (!content) throw new Error('There is no model.');
  const look = {content, demand: demand.find('m1'), held: [], nowMs: 0};
  assert.not(isDemandPlanDue(look));
  demand.recordMiss('m1', 0);
  assert.ok(isDemandPlanDue({...look, demand: demand.find('m1')}));
});

test('bounds the number of models in the demand table', () => {
  const demand = new DemandTable();
  Array.from({length: 5_000}, (_unused, i) => demand.recordMiss(`m${i}`, i));
  assert.is(demand.models.length, 1_024);
  assert.is(demand.find('m4999').lastMissMs, 4_999);
});

test.run();
