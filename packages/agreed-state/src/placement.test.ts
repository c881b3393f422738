import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  START_MS,
  makeClaim,
  makeEvent,
  makePlan,
  makePut,
  makeReadyBench,
  makeSlot,
  verdictOf,
} from './test_fixtures.js';

const placement = suite('placement');

// Two nodes believe that they are to plan the same event, and both write a
// plan made against the same state. Only the first may count, or the event
// would get twice the replicas that were decided.
placement('takes only the first of two plans', () => {
  const bench = makeReadyBench();
  const first = makePlan(bench, [makeSlot('s1', 'r1')]);
  const second = makePlan(bench, [makeSlot('s2', 'r2')]);
  assert.is(verdictOf(bench.fold(first)), 'valid');
  assert.is(verdictOf(bench.fold(second)), 'stale-plan');
});

placement('refuses more replicas than the event decided', () => {
  const bench = makeReadyBench(1);
  const plan = makePlan(bench, [makeSlot('s1', 'r1'), makeSlot('s2', 'r2')]);
  assert.is(verdictOf(bench.fold(plan)), 'too-many-replicas');
});

// A runner is lost and a spare is decided in its place, as the surge allows.
// A second spare must not be: the lost runner may still hold its replica.
placement('counts spares for lost replicas against the surge', () => {
  const bench = makeReadyBench(1);
  bench.fold(makePlan(bench, [makeSlot('s1', 'r1')]));
  const spare = makeSlot('s2', 'r2', {replaces: 's1'});
  assert.is(verdictOf(bench.fold(makePlan(bench, [spare]))), 'valid');
  const another = makeSlot('s3', 'r2', {replaces: 's2', loadAtMs: START_MS});
  const folded = bench.fold(makePlan(bench, [another]));
  assert.is(verdictOf(folded), 'too-many-replicas');
});

// A replica is to move, so its slot was ended, but its engine has not been
// seen without it. Until then a new one would be one too many.
placement('counts ending slots until they are released', () => {
  const bench = makeReadyBench(1);
  bench.fold(makeClaim(bench, 'r1'));
  const {sequence} = bench.state;
  bench.fold(makePlan(bench, [makeSlot('s1', 'r1')]));
  bench.fold({type: 'end-slots', slotIds: ['s1'], reason: 'moved'});
  const next = () => makePlan(bench, [makeSlot('s2', 'r2')]);
  assert.is(verdictOf(bench.fold(next())), 'too-many-replicas');
  bench.fold({
    type: 'release-slots',
    backendServerId: 'r1',
    epoch: sequence,
    slotIds: ['s1'],
  });
  assert.is(verdictOf(bench.fold(next())), 'valid');
});

// Two events want the same runner at the same time. Each plan alone would
// fit; together they would take more memory than the runner has.
placement('refuses memory that another event holds at that time', () => {
  const bench = makeReadyBench();
  bench.fold(makePut('event', 'b', makeEvent('2027-01-01T10:10:00Z')));
  bench.fold(makePlan(bench, [makeSlot('s1', 'r1')]));
  const later = makeSlot('s2', 'r1', {loadAtMs: START_MS + 600_000});
  const folded = bench.fold(makePlan(bench, [later], 'b'));
  assert.is(verdictOf(folded), 'memory-exceeded');
});

placement('lets the next event reuse memory after the end', () => {
  const bench = makeReadyBench();
  bench.fold(makePut('event', 'b', makeEvent('2027-01-01T10:40:00Z')));
  bench.fold(makePlan(bench, [makeSlot('s1', 'r1')]));
  const loadAtMs = START_MS + 30 * 60_000;
  const later = makeSlot('s2', 'r1', {loadAtMs, untilMs: loadAtMs + 1});
  assert.is(verdictOf(bench.fold(makePlan(bench, [later], 'b'))), 'valid');
});

placement('counts the memory of a staging load', () => {
  const bench = makeReadyBench(2);
  const stage = {fromMs: START_MS - 60_000, untilMs: START_MS - 50_000};
  bench.fold(makePut('event', 'b', makeEvent('2027-01-01T09:59:00Z')));
  const early = {loadAtMs: START_MS - 61_000, untilMs: START_MS - 55_000};
  bench.fold(makePlan(bench, [makeSlot('s1', 'r1', early)], 'b'));
  const staged = makePlan(bench, [makeSlot('s2', 'r1', {stage})]);
  assert.is(verdictOf(bench.fold(staged)), 'memory-exceeded');
});

placement('refuses to extend a slot into memory that is taken', () => {
  const bench = makeReadyBench();
  bench.fold(makePut('event', 'b', makeEvent('2027-01-01T10:40:00Z')));
  bench.fold(makePlan(bench, [makeSlot('s1', 'r1')]));
  const loadAtMs = START_MS + 30 * 60_000;
  const next = makeSlot('s2', 'r1', {loadAtMs, untilMs: loadAtMs + 1});
  bench.fold(makePlan(bench, [next], 'b'));
  const extend = {
    type: 'extend-slots' as const,
    slotIds: ['s1'],
    untilMs: loadAtMs + 1,
  };
  assert.is(verdictOf(bench.fold(extend)), 'memory-exceeded');
});

// An operator changes the event while a node is planning it. The plan was
// made for what the event no longer is.
placement('refuses a plan for an older revision of the event', () => {
  const bench = makeReadyBench();
  const plan = makePlan(bench, [makeSlot('s1', 'r1')]);
  const moved = makeEvent('2027-01-01T12:00:00Z');
  bench.fold(makePut('event', 'saturday', moved, 1));
  assert.is(verdictOf(bench.fold(plan)), 'stale-plan');
});

placement('refuses a slot that does not fit its need', () => {
  const bench = makeReadyBench();
  const cases = [
    makeSlot('s1', 'r1', {memoryMib: 1}),
    makeSlot('s1', 'r1', {version: 'v9'}),
    makeSlot('s1', 'r9'),
    makeSlot('s1', 'r1', {untilMs: 0}),
  ];
  const verdicts = cases.map(slot =>
    verdictOf(bench.fold(makePlan(bench, [slot]))),
  );
  assert.equal(
    verdicts,
    cases.map(() => 'invalid-content'),
  );
});

placement('releases what a removed backend server held', () => {
  const bench = makeReadyBench();
  bench.fold(makePlan(bench, [makeSlot('s1', 'r1')]));
  bench.fold({type: 'remove-backend-server', backendServerId: 'r1'});
  assert.is(bench.state.placement.list().length, 0);
});

placement('limits replicas on demand to what the model allows', () => {
  const bench = makeReadyBench();
  const plan = (slotId: string, server: string) => ({
    type: 'decide-slots' as const,
    purpose: {for: 'demand' as const, model: 'lists'},
    targetRevision: 1,
    expectedPlan: bench.state.placement.countPlans({
      for: 'demand',
      model: 'lists',
    }),
    slots: [makeSlot(slotId, server)],
  });
  assert.is(verdictOf(bench.fold(plan('s1', 'r1'))), 'valid');
  assert.is(verdictOf(bench.fold(plan('s2', 'r2'))), 'too-many-replicas');
});

placement.run();
