import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  START_MS,
  makeClaim,
  makeEvent,
  makePlan,
  makePut,
  makeReadyFixture,
  makeSlot,
  outcomeCode,
} from './test_fixtures.js';

const placement = suite('placement');

// Guards against two nodes that plan the same event and double its replicas.
placement('accepts only the first of two concurrent plans', () => {
  const fixture = makeReadyFixture();
  const first = makePlan(fixture, [makeSlot('s1', 'r1')]);
  const second = makePlan(fixture, [makeSlot('s2', 'r2')]);
  assert.is(outcomeCode(fixture.apply(first)), 'valid');
  assert.is(outcomeCode(fixture.apply(second)), 'stale-plan');
});

placement('refuses more replicas than the event needs', () => {
  const fixture = makeReadyFixture(1);
  const plan = makePlan(fixture, [makeSlot('s1', 'r1'), makeSlot('s2', 'r2')]);
  assert.is(outcomeCode(fixture.apply(plan)), 'too-many-replicas');
});

// Guards against extra replacements while a lost server may still have its
// replica loaded.
placement('counts replacements of lost replicas against maxSurge', () => {
  const fixture = makeReadyFixture(1);
  fixture.apply(makePlan(fixture, [makeSlot('s1', 'r1')]));
  const replacement = makeSlot('s2', 'r2', {replaces: 's1'});
  assert.is(
    outcomeCode(fixture.apply(makePlan(fixture, [replacement]))),
    'valid',
  );
  const another = makeSlot('s3', 'r2', {replaces: 's2', loadAtMs: START_MS});
  const applied = fixture.apply(makePlan(fixture, [another]));
  assert.is(outcomeCode(applied), 'too-many-replicas');
});

// Guards against one replica too many while the engine may still have the
// replica of an ending slot loaded.
placement('counts ending slots until they are released', () => {
  const fixture = makeReadyFixture(1);
  fixture.apply(makeClaim(fixture, 'r1'));
  const {sequence} = fixture.state;
  fixture.apply(makePlan(fixture, [makeSlot('s1', 'r1')]));
  fixture.apply({type: 'end-slots', slotIds: ['s1'], reason: 'moved'});
  const next = () => makePlan(fixture, [makeSlot('s2', 'r2')]);
  assert.is(outcomeCode(fixture.apply(next())), 'too-many-replicas');
  fixture.apply({
    type: 'release-slots',
    backendServerId: 'r1',
    epoch: sequence,
    slotIds: ['s1'],
  });
  assert.is(outcomeCode(fixture.apply(next())), 'valid');
});

// Guards against two plans that each fit a server but together exceed its
// memory.
placement('refuses memory that another event reserves at that time', () => {
  const fixture = makeReadyFixture();
  fixture.apply(makePut('event', 'b', makeEvent('2027-01-01T10:10:00Z')));
  fixture.apply(makePlan(fixture, [makeSlot('s1', 'r1')]));
  const later = makeSlot('s2', 'r1', {loadAtMs: START_MS + 600_000});
  const applied = fixture.apply(makePlan(fixture, [later], 'b'));
  assert.is(outcomeCode(applied), 'memory-exceeded');
});

placement('lets the next event reuse memory after a slot ends', () => {
  const fixture = makeReadyFixture();
  fixture.apply(makePut('event', 'b', makeEvent('2027-01-01T10:40:00Z')));
  fixture.apply(makePlan(fixture, [makeSlot('s1', 'r1')]));
  const loadAtMs = START_MS + 30 * 60_000;
  const later = makeSlot('s2', 'r1', {loadAtMs, untilMs: loadAtMs + 1});
  assert.is(
    outcomeCode(fixture.apply(makePlan(fixture, [later], 'b'))),
    'valid',
  );
});

placement('counts the memory of a staging load', () => {
  const fixture = makeReadyFixture(2);
  const stage = {fromMs: START_MS - 60_000, untilMs: START_MS - 50_000};
  fixture.apply(makePut('event', 'b', makeEvent('2027-01-01T09:59:00Z')));
  const early = {loadAtMs: START_MS - 61_000, untilMs: START_MS - 55_000};
  fixture.apply(makePlan(fixture, [makeSlot('s1', 'r1', early)], 'b'));
  const staged = makePlan(fixture, [makeSlot('s2', 'r1', {stage})]);
  assert.is(outcomeCode(fixture.apply(staged)), 'memory-exceeded');
});

placement('refuses to extend a slot into memory that is reserved', () => {
  const fixture = makeReadyFixture();
  fixture.apply(makePut('event', 'b', makeEvent('2027-01-01T10:40:00Z')));
  fixture.apply(makePlan(fixture, [makeSlot('s1', 'r1')]));
  const loadAtMs = START_MS + 30 * 60_000;
  const next = makeSlot('s2', 'r1', {loadAtMs, untilMs: loadAtMs + 1});
  fixture.apply(makePlan(fixture, [next], 'b'));
  const extend = {
    type: 'extend-slots' as const,
    slotIds: ['s1'],
    untilMs: loadAtMs + 1,
  };
  assert.is(outcomeCode(fixture.apply(extend)), 'memory-exceeded');
});

// Guards against a plan made for an event that has changed in the meantime.
placement('refuses a plan for an older revision of the event', () => {
  const fixture = makeReadyFixture();
  const plan = makePlan(fixture, [makeSlot('s1', 'r1')]);
  const moved = makeEvent('2027-01-01T12:00:00Z');
  fixture.apply(makePut('event', 'saturday', moved, 1));
  assert.is(outcomeCode(fixture.apply(plan)), 'stale-plan');
});

placement('refuses a slot that does not fit its need', () => {
  const fixture = makeReadyFixture();
  const cases = [
    makeSlot('s1', 'r1', {memoryMib: 1}),
    makeSlot('s1', 'r1', {version: 'v9'}),
    makeSlot('s1', 'r9'),
    makeSlot('s1', 'r1', {untilMs: 0}),
  ];
  const outcomes = cases.map(slot =>
    outcomeCode(fixture.apply(makePlan(fixture, [slot]))),
  );
  assert.equal(
    outcomes,
    cases.map(() => 'invalid-content'),
  );
});

placement('removes the slots of a removed backend server', () => {
  const fixture = makeReadyFixture();
  fixture.apply(makePlan(fixture, [makeSlot('s1', 'r1')]));
  fixture.apply({type: 'remove-backend-server', backendServerId: 'r1'});
  assert.is(fixture.state.placement.list().length, 0);
});

placement('limits on-demand replicas to the limit of the model', () => {
  const fixture = makeReadyFixture();
  const plan = (slotId: string, server: string) => ({
    type: 'decide-slots' as const,
    purpose: {for: 'demand' as const, model: 'lists'},
    targetRevision: 1,
    expectedPlan: fixture.state.placement.countPlans({
      for: 'demand',
      model: 'lists',
    }),
    slots: [makeSlot(slotId, server)],
  });
  assert.is(outcomeCode(fixture.apply(plan('s1', 'r1'))), 'valid');
  assert.is(outcomeCode(fixture.apply(plan('s2', 'r2'))), 'too-many-replicas');
});

placement.run();
