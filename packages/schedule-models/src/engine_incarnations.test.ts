import {type BackendServerEntry} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulerSimulation, makeEngine} from './scheduler_fixture.js';
import {type EngineReport} from './scheduled_request.js';

const test = suite('engine incarnations');

const RESIDENT = ['hot', 'warm', 'rare'];

function makeReport(change: Partial<EngineReport> = {}): EngineReport {
  return {
    ...{startedAtMs: 9_000, orderCount: 0, isBusy: false, residents: []},
    ...change,
  };
}

/** The entries of an engine before and after a crash and restart. */
function makeIncarnations(): {
  old: BackendServerEntry;
  restarted: BackendServerEntry;
} {
  const old = {...makeEngine('e1', RESIDENT), startedAtMs: 1_000};
  return {old, restarted: {...old, startedAtMs: 9_000, residents: []}};
}

function listResidents(sim: SchedulerSimulation): string[] {
  const [engine] = sim.scheduler.listEngines();
  return [...(engine?.residents.keys() ?? [])];
}

/*
 * Guards against requests and orders that rely on the models and the order
 * count of an engine before its crash.
 */
test('a new incarnation starts without models, runs and accepted orders', () => {
  const {old, restarted} = makeIncarnations();
  const sim = new SchedulerSimulation([old]);
  sim.run(1_000, {hot: 5});
  sim.scheduler.putEngine(restarted, 1_000);
  const [engine] = sim.scheduler.listEngines();
  assert.equal(listResidents(sim), []);
  assert.is(engine?.runs.size, 0);
  assert.is(engine?.orders.acceptedCount, 0);
  assert.ok(engine?.orders.needsReport);
});

test('a report of a new incarnation replaces the old state', () => {
  const {old} = makeIncarnations();
  const sim = new SchedulerSimulation([old]);
  sim.scheduler.recordReport('e1', makeReport(), 500);
  assert.equal(listResidents(sim), []);
});

test('an outdated entry does not restore the old incarnation', () => {
  const {old, restarted} = makeIncarnations();
  const sim = new SchedulerSimulation([old]);
  sim.scheduler.putEngine(restarted, 1_000);
  sim.scheduler.putEngine(old, 1_100);
  assert.equal(listResidents(sim), []);
  const [engine] = sim.scheduler.listEngines();
  assert.is(engine?.startedAtMs, 9_000);
});

/*
 * Guards against a report that was sent before the crash and arrives after the
 * restart.
 */
test('a late report of the old incarnation is ignored', () => {
  const {old, restarted} = makeIncarnations();
  const sim = new SchedulerSimulation([old]);
  sim.scheduler.putEngine(restarted, 1_000);
  const reported = [{model: 'hot', adapters: []}];
  const late = makeReport({
    ...{startedAtMs: 1_000, orderCount: 7, residents: reported},
  });
  sim.scheduler.recordReport('e1', late, 1_300);
  assert.equal(listResidents(sim), []);
  assert.is(sim.scheduler.listEngines()[0]?.orders.acceptedCount, 0);
});

/* Guards against ignoring a restarted engine whose host clock was set back. */
test('an earlier start time is accepted once a report repeats it', () => {
  const {old, restarted} = makeIncarnations();
  const sim = new SchedulerSimulation([restarted]);
  sim.scheduler.putEngine(old, 1_000);
  assert.equal(sim.scheduler.listEnginesToQuery(1_000), ['e1']);
  const reported = [{model: 'warm', adapters: []}];
  const report = makeReport({startedAtMs: 1_000, residents: reported});
  sim.scheduler.recordReport('e1', report, 5_000);
  assert.equal(listResidents(sim), ['warm']);
});

test('entries and reports may omit the start time', () => {
  const sim = new SchedulerSimulation([makeEngine('e1', RESIDENT)]);
  sim.scheduler.putEngine({...makeEngine('e1', RESIDENT), startedAtMs: 5}, 100);
  assert.equal(listResidents(sim), RESIDENT);
  const reported = RESIDENT.map(model => ({model, adapters: []}));
  const report = makeReport({startedAtMs: null, residents: reported});
  sim.scheduler.recordReport('e1', report, 200);
  assert.equal(listResidents(sim), RESIDENT);
});

/*
 * Guards against taking the late response to an order of the old incarnation
 * for the outcome of an order to the new one.
 */
test('the outcome of an order to the old incarnation is ignored', () => {
  const {old, restarted} = makeIncarnations();
  const sim = new SchedulerSimulation([old]);
  const order = {
    ...{engineId: 'e1', operation: 'load' as const, model: 'other'},
    ...{adapter: null, tier: null, expectedCount: 0},
  };
  sim.scheduler.recordOrderSent(order);
  sim.scheduler.putEngine(restarted, 1_000);
  sim.scheduler.recordReport('e1', makeReport(), 1_000);
  sim.scheduler.recordOrderSent({...order, model: 'warm'});
  sim.scheduler.recordOrderOutcome(order, 'accepted', 1_010);
  assert.equal(listResidents(sim), []);
});

/*
 * Guards against overcommitting memory when a load order for the old
 * incarnation is executed by the new one.
 */
test('memory is reserved for a load that may still reach the new incarnation', () => {
  const {old, restarted} = makeIncarnations();
  const sim = new SchedulerSimulation([old]);
  const late = {
    ...{engineId: 'e1', operation: 'load' as const, model: 'other'},
    ...{adapter: null, tier: null, expectedCount: 2},
  };
  sim.scheduler.recordOrderSent(late);
  sim.scheduler.recordOrderOutcome(late, 'unknown', 500);
  sim.scheduler.putEngine(restarted, 1_000);
  sim.scheduler.recordReport('e1', makeReport(), 1_000);
  const [engine] = sim.scheduler.listEngines();
  const wholeMb = engine?.spec.memoryMb ?? 0;
  assert.is(
    engine?.memory.freeMb,
    wholeMb - (engine?.memory.modelMb('other') ?? 0),
  );
  sim.scheduler.recordReport('e1', makeReport({orderCount: 3}), 9_000);
  assert.is(engine?.memory.freeMb, wholeMb);
});

test.run();
