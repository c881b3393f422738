import * as fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  FixtureLog,
  type ServerConditions,
  MODEL_MIB,
  makeEngine,
  makeServers,
  makeWarm,
  minutes,
} from './test_fixtures.js';

const test = suite('event planning');

const MODELS = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6'];
const START_MS = minutes(60);

function setUp(servers = makeServers(4, 2)): FixtureLog {
  return new FixtureLog(servers, MODELS);
}

function planAndApply(
  log: FixtureLog,
  eventId: string,
  nowMs: number,
  conditions?: ServerConditions,
) {
  const plan = log.plan(eventId, nowMs, conditions);
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

test('plans only changes that the log accepts', () => {
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
        steps.forEach(({eventIndex, change, event, afterMs, ...conditions}) => {
          const eventId = `e${eventIndex}`;
          nowMs += afterMs;
          if (change === 'release') log.releaseEnding();
          if (change === 'put') log.putEvent(eventId, event);
          if (!log.state.configuration.findEvent(eventId)) return;
          planAndApply(log, eventId, nowMs, conditions);
          const replanned = log.plan(eventId, nowMs, conditions);
          assert.ok(isEmpty(replanned), JSON.stringify(replanned));
        });
      },
    ),
    {seed: 7, numRuns: 400},
  );
});

test('places one replica of every model before any second replica', () => {
  const log = setUp(makeServers(2, 1, {memoryMib: 2 * MODEL_MIB}));
  const needs = MODELS.slice(0, 3).map(model => ({model, replicas: 2}));
  log.putEvent('e', {startsAtMs: START_MS, needs});
  const plan = planAndApply(log, 'e', 0);
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
  const plan = planAndApply(log, 'e', 0);
  const domains = plan.decide.map(
    slot =>
      log.state.stewardship.findBackendServer(slot.backendServerId)
        ?.failureDomain,
  );
  assert.is(new Set(domains).size, 2);
});

test('replaces a lost slot within the surge until its runner recovers', () => {
  // Guards against a cold model after a runner is lost, and against a surplus
  // replica: the slot of the unreachable engine still counts.
  const log = setUp();
  log.putEvent('e', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  const [original] = planAndApply(log, 'e', 0).decide;
  const lost = [original?.backendServerId ?? ''];
  const outage = planAndApply(log, 'e', minutes(50), {lost});
  assert.is(outage.decide[0]?.replaces, original?.slotId);
  assert.is.not(outage.decide[0]?.backendServerId, original?.backendServerId);
  assert.ok(isEmpty(log.plan('e', minutes(50), {lost})));
  const recovery = planAndApply(log, 'e', minutes(51));
  assert.equal(recovery.end[0]?.slotIds, [outage.decide[0]?.slotId]);
});

test('counts a replacement once the lost host is removed', () => {
  // Guards against planning a surplus replica beside the replacement.
  const log = setUp();
  log.putEvent('e', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  const [original] = planAndApply(log, 'e', 0).decide;
  const backendServerId = original?.backendServerId ?? '';
  planAndApply(log, 'e', minutes(50), {lost: [backendServerId]});
  log.write({type: 'remove-backend-server', backendServerId});
  assert.ok(isEmpty(log.plan('e', minutes(51))));
});

test('keeps a slot on a leaving runner until its replacement is warm', () => {
  // Guards against a cold model when a host is reclaimed during an event.
  const log = setUp();
  log.putEvent('e', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  const [original] = planAndApply(log, 'e', 0).decide;
  const leaving = [original?.backendServerId ?? ''];
  const nowMs = START_MS + 1;
  const [replacement] = planAndApply(log, 'e', nowMs, {leaving}).decide;
  assert.is(replacement?.replaces, original?.slotId);
  assert.ok(isEmpty(log.plan('e', nowMs, {leaving})));
  const engine = makeEngine(replacement?.backendServerId ?? '', {
    replicas: replacement ? [makeWarm(replacement)] : [],
  });
  const moved = planAndApply(log, 'e', nowMs, {leaving, engines: [engine]});
  assert.equal(moved.end, [{slotIds: [original?.slotId], reason: 'moved'}]);
});

test('keeps the old version until the new one is warm', () => {
  // Guards against a cold model when a new version is published during an
  // event.
  const log = setUp();
  const needs = [{model: 'm1'}];
  log.putEvent('e', {startsAtMs: START_MS, needs});
  const [old] = planAndApply(log, 'e', 0).decide;
  const nowMs = START_MS + minutes(1);
  log.putModel('m1', {version: 'v2'});
  const [next] = planAndApply(log, 'e', nowMs).decide;
  assert.is(next?.version, 'v2');
  assert.is(next?.replaces, old?.slotId);
  assert.is(log.listHeld('e').filter(s => s.status === 'decided').length, 2);
});

test('plans a postponed event again and extends running replicas', () => {
  // Guards against holding memory from the old start of a postponed event, and
  // against reloading replicas when only the end of a running event changes.
  const log = setUp();
  const needs = [{model: 'm1'}];
  log.putEvent('e', {startsAtMs: START_MS, needs});
  planAndApply(log, 'e', 0);
  const laterMs = START_MS + minutes(120);
  log.putEvent('e', {startsAtMs: laterMs, needs});
  assert.is(planAndApply(log, 'e', 1).end[0]?.reason, 'event-changed');
  log.releaseEnding();
  const [slot] = planAndApply(log, 'e', 2).decide;
  assert.ok((slot?.loadAtMs ?? 0) > laterMs - minutes(1));
  log.putEvent('e', {startsAtMs: laterMs, durationMinutes: 20, needs});
  const extension = planAndApply(log, 'e', laterMs + minutes(1));
  assert.equal(extension.extend[0]?.slotIds, [slot?.slotId]);
  assert.is(extension.end.length, 0);
});

test('preempts slots of an event of lower priority', () => {
  // Guards against a cold model of an urgent event when an event that was
  // published earlier has reserved all memory.
  const log = setUp(makeServers(1, 1, {memoryMib: MODEL_MIB}));
  log.putEvent('low', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  planAndApply(log, 'low', 0);
  log.putEvent('high', {
    startsAtMs: START_MS,
    priority: 9,
    needs: [{model: 'm2'}],
  });
  const preemption = planAndApply(log, 'high', 1);
  assert.equal(preemption.unplaced, [{model: 'm2', replicas: 1}]);
  assert.is(preemption.end[0]?.reason, 'moved');
  assert.ok(isEmpty(log.plan('high', 1)));
  log.releaseEnding();
  assert.is(planAndApply(log, 'high', 2).decide.length, 1);
  assert.is(planAndApply(log, 'low', 3).decide.length, 0);
});

test('loads for an event when the previous event frees its memory', () => {
  const log = setUp(makeServers(1, 1, {memoryMib: MODEL_MIB}));
  log.putEvent('a', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  planAndApply(log, 'a', 0);
  const endMs = START_MS + minutes(10);
  log.putEvent('b', {startsAtMs: endMs, needs: [{model: 'm2'}]});
  const [slot] = planAndApply(log, 'b', 1).decide;
  assert.is(slot?.loadAtMs, endMs);
  assert.ok((slot?.stage?.untilMs ?? Infinity) <= START_MS);
});

test('plans separate slots for a model of two concurrent events', () => {
  const log = setUp(makeServers(1));
  log.putEvent('a', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  log.putEvent('b', {
    startsAtMs: START_MS,
    needs: [{model: 'm1', version: 'v0'}],
  });
  planAndApply(log, 'a', 0);
  planAndApply(log, 'b', 0);
  const versions = log.state.placement.list().map(slot => slot.version);
  assert.equal(versions.toSorted(), ['v0', 'v1']);
});

test('stages only on engines that reject old fencing numbers', () => {
  // Guards against a delayed staging unload that ends the final load.
  const log = setUp(makeServers(1, 1, {fencing: 'ignores'}));
  log.putEvent('e', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  const [slot] = planAndApply(log, 'e', 0).decide;
  assert.is(slot?.stage, null);
  assert.ok((slot?.loadAtMs ?? 0) < START_MS);
});

test('ends all slots once the event is over', () => {
  const log = setUp();
  log.putEvent('e', {startsAtMs: START_MS, needs: [{model: 'm1'}]});
  planAndApply(log, 'e', 0);
  const plan = planAndApply(log, 'e', START_MS + minutes(10));
  assert.is(plan.end[0]?.reason, 'event-over');
  assert.ok(isEmpty(log.plan('e', START_MS + minutes(10))));
});

test.run();
