import {type BackendServerEntry} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulerPlay, makeEngine} from './scheduler_fixture.js';
import {type EngineReport} from './scheduled_request.js';

const test = suite('lives of an engine');

const HELD = ['hot', 'warm', 'rare'];

function makeReport(change: Partial<EngineReport> = {}): EngineReport {
  return {
    ...{startedAtMs: 9_000, orderCount: 0, isBusy: false, residents: []},
    ...change,
  };
}

/** An engine that has crashed and started again, as its entries tell. */
function makeLives(): {old: BackendServerEntry; reborn: BackendServerEntry} {
  const old = {...makeEngine('e1', HELD), startedAtMs: 1_000};
  return {old, reborn: {...old, startedAtMs: 9_000, residents: []}};
}

function listHeld(play: SchedulerPlay): string[] {
  const [engine] = play.scheduler.listEngines();
  return [...(engine?.residents.keys() ?? [])];
}

/*
 * An engine crashes and starts again under its id. It holds nothing, but its
 * users were sent there for the models of its life before, and each of them was
 * refused. Its orders named the old count, so that none was taken.
 */
test('a new life holds nothing, runs nothing and counts anew', () => {
  const {old, reborn} = makeLives();
  const play = new SchedulerPlay([old]);
  play.run(1_000, {hot: 5});
  play.scheduler.putEngine(reborn, 1_000);
  const [engine] = play.scheduler.listEngines();
  assert.equal(listHeld(play), []);
  assert.is(engine?.runs.size, 0);
  assert.is(engine?.orders.acceptedCount, 0);
  assert.ok(engine?.orders.needsReport);
});

test('a report of a new life is enough to know of it', () => {
  const {old} = makeLives();
  const play = new SchedulerPlay([old]);
  play.scheduler.noteReport('e1', makeReport(), 500);
  assert.equal(listHeld(play), []);
});

test('an old entry does not bring the old life back', () => {
  const {old, reborn} = makeLives();
  const play = new SchedulerPlay([old]);
  play.scheduler.putEngine(reborn, 1_000);
  play.scheduler.putEngine(old, 1_100);
  assert.equal(listHeld(play), []);
  const [engine] = play.scheduler.listEngines();
  assert.is(engine?.startedAtMs, 9_000);
});

/* It left before the engine crashed and arrives after the new life is known. */
test('a late report of the old life changes nothing of the new one', () => {
  const {old, reborn} = makeLives();
  const play = new SchedulerPlay([old]);
  play.scheduler.putEngine(reborn, 1_000);
  const told = [{model: 'hot', adapters: []}];
  const late = makeReport({
    ...{startedAtMs: 1_000, orderCount: 7, residents: told},
  });
  play.scheduler.noteReport('e1', late, 1_300);
  assert.equal(listHeld(play), []);
  assert.is(play.scheduler.listEngines()[0]?.orders.acceptedCount, 0);
});

/* The clock of its host was set back while it was down. */
test('a start that seems earlier is believed when the engine insists', () => {
  const {old, reborn} = makeLives();
  const play = new SchedulerPlay([reborn]);
  play.scheduler.putEngine(old, 1_000);
  assert.equal(play.scheduler.listUnknown(1_000), ['e1']);
  const told = [{model: 'warm', adapters: []}];
  const report = makeReport({startedAtMs: 1_000, residents: told});
  play.scheduler.noteReport('e1', report, 5_000);
  assert.equal(listHeld(play), ['warm']);
});

test('neither entries nor reports need to tell a start', () => {
  const play = new SchedulerPlay([makeEngine('e1', HELD)]);
  play.scheduler.putEngine({...makeEngine('e1', HELD), startedAtMs: 5}, 100);
  assert.equal(listHeld(play), HELD);
  const told = HELD.map(model => ({model, adapters: []}));
  const report = makeReport({startedAtMs: null, residents: told});
  play.scheduler.noteReport('e1', report, 200);
  assert.equal(listHeld(play), HELD);
});

/*
 * The answer to an order comes after the engine has crashed and begun anew. Taken
 * for the outcome of the order that is under way to the new life, a model would
 * be believed to be there that is not.
 */
test('the outcome of an order to the old life says nothing of the new', () => {
  const {old, reborn} = makeLives();
  const play = new SchedulerPlay([old]);
  const order = {
    ...{engineId: 'e1', operation: 'load' as const, model: 'other'},
    ...{adapter: null, expectedCount: 0},
  };
  play.scheduler.noteOrderSent(order);
  play.scheduler.putEngine(reborn, 1_000);
  play.scheduler.noteReport('e1', makeReport(), 1_000);
  play.scheduler.noteOrderSent({...order, model: 'warm'});
  play.scheduler.noteOrderOutcome(order, 'accepted', 1_010);
  assert.equal(listHeld(play), []);
});

/*
 * An order to load gets no answer, and the engine crashes. Seconds later the
 * order reaches the new life, whose count of orders has come to what it names.
 * With its memory full by then, the engine would crash once more.
 */
test('a place is kept for a load that may still reach the new life', () => {
  const {old, reborn} = makeLives();
  const play = new SchedulerPlay([old]);
  const late = {
    ...{engineId: 'e1', operation: 'load' as const, model: 'other'},
    ...{adapter: null, expectedCount: 2},
  };
  play.scheduler.noteOrderSent(late);
  play.scheduler.noteOrderOutcome(late, 'unknown', 500);
  play.scheduler.putEngine(reborn, 1_000);
  play.scheduler.noteReport('e1', makeReport(), 1_000);
  const [engine] = play.scheduler.listEngines();
  const wholeMb = engine?.spec.memoryMb ?? 0;
  assert.is(
    engine?.memory.freeMb,
    wholeMb - (engine?.memory.modelMb('other') ?? 0),
  );
  play.scheduler.noteReport('e1', makeReport({orderCount: 3}), 9_000);
  assert.is(engine?.memory.freeMb, wholeMb);
});

test.run();
