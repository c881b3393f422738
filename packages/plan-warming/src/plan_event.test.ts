import * as fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  FixtureLog,
  type Hints,
  MODEL_MIB,
  makeEngine,
  makeServers,
  makeWarm,
  minutes,
} from './test_fixtures.js';

const test = suite('plan of an event');

const MODELS = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6'];
const START_MS = minutes(60);

function setUp(servers = makeServers(4, 2)): FixtureLog {
  return new FixtureLog(servers, MODELS);
}

function settle(
  log: FixtureLog,
  eventId: string,
  nowMs: number,
  hints?: Hints,
) {
  const plan = log.plan(eventId, nowMs, hints);
  const outcomes = log.apply(eventId, plan);
  assert.ok(outcomes.every(outcome => outcome.status === 'valid'));
  return plan;
}

function isEmpty(plan: ReturnType<FixtureLog['plan']>): boolean {
  return [plan.decide, plan.end, plan.extend].every(part => part.length === 0);
}

const needArbitrary = fc.record({
  model: fc.constantFrom(...MODELS),
  adapters: fc.subarray(['a', 'b']),
  replicas: fc.integer({min: 1, max: 4}),
  maxSurge: fc.integer({min: 0, max: 2}),
});
const eventArbitrary = fc.record({
  startsAtMs: fc.integer({min: 0, max: minutes(40)}),
  durationMinutes: fc.integer({min: 1, max: 30}),
  priority: fc.integer({min: 0, max: 9}),
  needs: fc.uniqueArray(needArbitrary, {
    selector: need => need.model,
    minLength: 1,
    maxLength: 6,
  }),
});
const serverIds = ['r1', 'r2', 'r3', 'r4', 'r5'];
const stepArbitrary = fc.record({
  eventIndex: fc.integer({min: 0, max: 2}),
  change: fc.constantFrom('plan', 'plan', 'put', 'release'),
  event: eventArbitrary,
  afterMs: fc.integer({min: 0, max: minutes(5)}),
  lost: fc.subarray(serverIds, {maxLength: 2}),
  leaving: fc.subarray(serverIds, {maxLength: 1}),
});
const clusterArbitrary = fc.array(
  fc.record({
    memoryMib: fc.integer({min: MODEL_MIB, max: 5 * MODEL_MIB}),
    fencing: fc.constantFrom('refuses-old' as const, 'ignores' as const),
  }),
  {minLength: 1, maxLength: 5},
);

test('never plans what the rules of the log refuse', () => {
  fc.assert(
    fc.property(
      clusterArbitrary,
      fc.array(stepArbitrary, {minLength: 1, maxLength: 25}),
      (cluster, steps) => {
        const servers = cluster.map((spec, index) => ({
          id: `r${index + 1}`,
          failureDomain: `domain-${index % 2}`,
          ...spec,
        }));
        const log = setUp(servers);
        let nowMs = 0;
        steps.forEach(({eventIndex, change, event, afterMs, ...hints}) => {
          const eventId = `e${eventIndex}`;
          nowMs += afterMs;
          if (change === 'release') log.releaseEnding();
          if (change === 'put') log.putEvent(eventId, event);
          if (!log.state.configuration.findEvent(eventId)) return;
          settle(log, eventId, nowMs, hints);
          const again = log.plan(eventId, nowMs, hints);
          assert.ok(isEmpty(again), JSON.stringify(again));
        });
      },
    ),
    {seed: 7, numRuns: 400},
  );
});

test('gives every model one replica before any gets a second', () => {
  const log = setUp(makeServers(2, 1, {memoryMib: 2 * MODEL_MIB}));
  const needs = MODELS.slice(0, 3).map(model => ({model, replicas: 2}));
  log.putEvent('e', {startsAtMs: START_MS, needs});
  const plan = settle(log, 'e', 0);
  const models = new Set(plan.decide.map(slot => slot.model));
  assert.is(models.size, 3);
  assert.is(plan.decide.length, 4);
  assert.is(
    plan.unplaced.reduce((sum, each) => sum + each.replicas, 0),
    2,
  );
});

test('spreads the replicas of a model over failure domains', () => {
  const log = setUp();
  log.putEvent('e', {
    startsAtMs: START_MS,
    needs: [{model: 'm1', replicas: 2}],
  });
  const plan = settle(log, 'e', 0);
  const domains = plan.decide.map(
    slot =>
      log.state.stewardship.findBackendServer(slot.backendServerId)
        ?.failureDomain,
  );
  assert.is(new Set(domains).size, 2);
});

test('covers a lost runner within the surge and takes it back', () => {
  // A runner dies ten minutes before the start; families would find one model
  // cold. The engine is only unreachable, so its slot still counts: the
  // stand-in must come out of the surge and go once the runner answers.
  const log = setUp();
  log.putEvent('e', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  const [first] = settle(log, 'e', 0).decide;
  const lost = [first?.backendServerId ?? ''];
  const cover = settle(log, 'e', minutes(50), {lost});
  assert.is(cover.decide[0]?.replaces, first?.slotId);
  assert.is.not(cover.decide[0]?.backendServerId, first?.backendServerId);
  assert.ok(isEmpty(log.plan('e', minutes(50), {lost})));
  const back = settle(log, 'e', minutes(51));
  assert.equal(back.end[0]?.slotIds, [cover.decide[0]?.slotId]);
});

test('counts the stand-in as the replica once the lost host is gone', () => {
  // A runner is lost and its host is later taken off the list. The stand-in
  // is all that is left; deciding one more would load a replica too many.
  const log = setUp();
  log.putEvent('e', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  const [first] = settle(log, 'e', 0).decide;
  const backendServerId = first?.backendServerId ?? '';
  settle(log, 'e', minutes(50), {lost: [backendServerId]});
  log.write({type: 'remove-backend-server', backendServerId});
  assert.ok(isEmpty(log.plan('e', minutes(51))));
});

test('moves a slot off a leaving runner only once its stand-in is warm', () => {
  // A host is reclaimed during an event. Unloading its replica first would
  // make the model cold for as long as the load elsewhere takes.
  const log = setUp();
  log.putEvent('e', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  const [first] = settle(log, 'e', 0).decide;
  const leaving = [first?.backendServerId ?? ''];
  const nowMs = START_MS + 1;
  const [spare] = settle(log, 'e', nowMs, {leaving}).decide;
  assert.is(spare?.replaces, first?.slotId);
  assert.ok(isEmpty(log.plan('e', nowMs, {leaving})));
  const engine = makeEngine(spare?.backendServerId ?? '', {
    replicas: spare ? [makeWarm(spare)] : [],
  });
  const moved = settle(log, 'e', nowMs, {leaving, engines: [engine]});
  assert.equal(moved.end, [{slotIds: [first?.slotId], reason: 'moved'}]);
});

test('keeps the old version serving until the new one is warm', () => {
  // An operator publishes a new version during a running event. Ending the
  // old replica at once would leave callers without any.
  const log = setUp();
  const needs = [{model: 'm1'}];
  log.putEvent('e', {startsAtMs: START_MS, needs});
  const [old] = settle(log, 'e', 0).decide;
  const nowMs = START_MS + minutes(1);
  log.putModel('m1', {version: 'v2'});
  const [next] = settle(log, 'e', nowMs).decide;
  assert.is(next?.version, 'v2');
  assert.is(next?.replaces, old?.slotId);
  assert.is(log.listHeld('e').filter(s => s.status === 'decided').length, 2);
});

test('plans anew when the event moves, and keeps running replicas', () => {
  // An event is put off by two hours while its slots are decided: what was
  // decided would hold memory for two hours too early. Later its end moves
  // while it runs: ending and reloading the replicas would cut the callers.
  const log = setUp();
  const needs = [{model: 'm1'}];
  log.putEvent('e', {startsAtMs: START_MS, needs});
  settle(log, 'e', 0);
  const laterMs = START_MS + minutes(120);
  log.putEvent('e', {startsAtMs: laterMs, needs});
  assert.is(settle(log, 'e', 1).end[0]?.reason, 'event-changed');
  log.releaseEnding();
  const [slot] = settle(log, 'e', 2).decide;
  assert.ok((slot?.loadAtMs ?? 0) > laterMs - minutes(1));
  log.putEvent('e', {startsAtMs: laterMs, durationMinutes: 20, needs});
  const longer = settle(log, 'e', laterMs + minutes(1));
  assert.equal(longer.extend[0]?.slotIds, [slot?.slotId]);
  assert.is(longer.end.length, 0);
});

test('lets an event of higher priority go first', () => {
  // Two events want the only runner at once. The one that was published first
  // took all memory; the urgent one would find its model cold.
  const log = setUp(makeServers(1, 1, {memoryMib: MODEL_MIB}));
  log.putEvent('low', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  settle(log, 'low', 0);
  log.putEvent('high', {
    startsAtMs: START_MS,
    priority: 9,
    needs: [{model: 'm2'}],
  });
  const push = settle(log, 'high', 1);
  assert.equal(push.unplaced, [{model: 'm2', replicas: 1}]);
  assert.is(push.end[0]?.reason, 'moved');
  assert.ok(isEmpty(log.plan('high', 1)));
  log.releaseEnding();
  assert.is(settle(log, 'high', 2).decide.length, 1);
  assert.is(settle(log, 'low', 3).decide.length, 0);
});

test('lets the next event wait for the memory of the one before', () => {
  const log = setUp(makeServers(1, 1, {memoryMib: MODEL_MIB}));
  log.putEvent('a', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  settle(log, 'a', 0);
  const endMs = START_MS + minutes(10);
  log.putEvent('b', {startsAtMs: endMs, needs: [{model: 'm2'}]});
  const [slot] = settle(log, 'b', 1).decide;
  assert.is(slot?.loadAtMs, endMs);
  assert.ok((slot?.stage?.untilMs ?? Infinity) <= START_MS);
});

test('plans the same model for two events at once as two slots', () => {
  const log = setUp(makeServers(1));
  log.putEvent('a', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  log.putEvent('b', {
    startsAtMs: START_MS,
    needs: [{model: 'm1', version: 'v0'}],
  });
  settle(log, 'a', 0);
  settle(log, 'b', 0);
  const versions = log.state.placement.list().map(slot => slot.version);
  assert.equal(versions.toSorted(), ['v0', 'v1']);
});

test('stages only where an engine refuses old fencing numbers', () => {
  // An engine that ignores fencing numbers may carry a late unload out after
  // the load that stays, and cut off what runs on it.
  const log = setUp(makeServers(1, 1, {fencing: 'ignores'}));
  log.putEvent('e', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  const [slot] = settle(log, 'e', 0).decide;
  assert.is(slot?.stage, null);
  assert.ok((slot?.loadAtMs ?? 0) < START_MS);
});

test('ends everything once the event is over', () => {
  const log = setUp();
  log.putEvent('e', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  settle(log, 'e', 0);
  const plan = settle(log, 'e', START_MS + minutes(10));
  assert.is(plan.end[0]?.reason, 'event-over');
  assert.ok(isEmpty(log.plan('e', START_MS + minutes(10))));
});

test.run();
