import {encodeBatch} from '@mimosatack/records';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MAX_BASIS_AGE_RECORDS} from './agreed_state.js';
import {
  StateFixture,
  makeEvent,
  makeModel,
  makePut,
  makeReadyFixture,
  makeTemplate,
  outcomeCode,
} from './test_fixtures.js';

const configuration = suite('configuration');

// Guards against a concurrent publish that silently overwrites another one.
configuration('accepts only the first of two concurrent changes', () => {
  const fixture = makeReadyFixture();
  const first = makePut('template', 'window', makeTemplate(), 1);
  const second = {...first, content: {...makeTemplate(), description: 'late'}};
  assert.is(outcomeCode(fixture.apply(first)), 'valid');
  const applied = fixture.apply(second);
  assert.is(outcomeCode(applied), 'version-conflict');
  assert.match(
    JSON.stringify(applied.outcome),
    /at version 2, not 1; record 7/,
  );
});

// Guards against a retried append of version 1 that reverts version 2.
configuration('voids a duplicate of an older publish', () => {
  const fixture = new StateFixture();
  fixture.apply(makePut('team', 'pantry', {}));
  const old = fixture.makeRecord(makePut('template', 'window', makeTemplate()));
  fixture.applyRecord(old);
  const newer = {...makeTemplate(), description: 'newer'};
  fixture.apply(makePut('template', 'window', newer, 1));
  assert.is(outcomeCode(fixture.applyRecord(old)), 'duplicate');
  const {content, version} = fixture.state.configuration.find(
    'template',
    'window',
  )!;
  assert.equal([version, content.description], [2, 'newer']);
});

// Guards against a delayed publish that recreates a deleted document after the
// record's id has expired.
configuration('voids a record whose basis is beyond the horizon', () => {
  const fixture = new StateFixture();
  const late = fixture.makeRecord(makePut('team', 'pantry', {}));
  fixture.state.sequence = MAX_BASIS_AGE_RECORDS + 1;
  assert.is(outcomeCode(fixture.applyRecord(late)), 'stale-basis');
});

// Guards against a late change to a deleted event that overwrites a new event
// of the same name.
configuration('continues version numbers after a delete', () => {
  const fixture = makeReadyFixture();
  const remove = {
    type: 'delete-document' as const,
    kind: 'event' as const,
    id: 'saturday',
    expectedVersion: 1,
  };
  fixture.apply(remove);
  const event = makeEvent('2027-01-02T10:00:00Z');
  const asNew = fixture.apply(makePut('event', 'saturday', event));
  assert.is(outcomeCode(asNew), 'version-conflict');
  assert.is(
    outcomeCode(fixture.apply(makePut('event', 'saturday', event, 2))),
    'valid',
  );
  const late = makePut('event', 'saturday', event, 1);
  assert.is(outcomeCode(fixture.apply(late)), 'version-conflict');
});

configuration('resolves events again when their template changes', () => {
  const fixture = makeReadyFixture();
  const before = fixture.state.configuration.findEvent('saturday')!;
  const template = makeTemplate();
  const longer = {
    ...template,
    event: {...(template['event'] as object), durationMinutes: 60},
  };
  fixture.apply(makePut('template', 'window', longer, 1));
  const after = fixture.state.configuration.findEvent('saturday')!;
  assert.is(after.endsAtMs - after.startsAtMs, 60 * 60_000);
  assert.ok(after.revision > before.revision);
});

configuration('refuses a template that breaks an event made from it', () => {
  const fixture = makeReadyFixture();
  const broken = {...makeTemplate(), parameters: {start: {type: 'time'}}};
  const applied = fixture.apply(makePut('template', 'window', broken, 1));
  assert.is(outcomeCode(applied), 'invalid-content');
  assert.match(JSON.stringify(applied.outcome), /event saturday/);
  assert.is(fixture.state.configuration.find('template', 'window')!.version, 1);
});

configuration('keeps a pinned event on its template version', () => {
  const fixture = makeReadyFixture();
  const event = {...makeEvent('2027-01-03T10:00:00Z'), templateVersion: 1};
  fixture.apply(makePut('event', 'sunday', event));
  const template = makeTemplate();
  const longer = {
    ...template,
    event: {...(template['event'] as object), durationMinutes: 60},
  };
  fixture.apply(makePut('template', 'window', longer, 1));
  const {endsAtMs, startsAtMs} =
    fixture.state.configuration.findEvent('sunday')!;
  assert.is(endsAtMs - startsAtMs, 30 * 60_000);
});

configuration('reports every parameter fault of an event', () => {
  const fixture = makeReadyFixture();
  const content = {
    team: 'pantry',
    template: 'window',
    parameters: {start: 'tomorrow', replicas: 9, colour: 'red'},
  };
  const {outcome} = fixture.apply(makePut('event', 'monday', content));
  const message = outcome.status === 'void' ? outcome.message : '';
  assert.match(message, /colour: the template has no such parameter/);
  assert.match(message, /start: give an ISO 8601 time with a time zone/);
  assert.match(message, /replicas: give at most 4/);
});

configuration('refuses to delete a document that is in use', () => {
  const fixture = makeReadyFixture();
  const applied = fixture.apply({
    type: 'delete-document',
    kind: 'model',
    id: 'lists',
    expectedVersion: 1,
  });
  assert.is(outcomeCode(applied), 'in-use');
});

configuration('refuses references to missing documents', () => {
  const fixture = new StateFixture();
  const template = fixture.apply(makePut('template', 'window', makeTemplate()));
  assert.is(outcomeCode(template), 'unknown-reference');
  fixture.apply(makePut('team', 'pantry', {}));
  fixture.apply(makePut('template', 'window', makeTemplate()));
  const event = makeEvent('2027-01-01T10:00:00Z');
  const applied = fixture.apply(makePut('event', 'saturday', event));
  assert.is(outcomeCode(applied), 'invalid-content');
  assert.match(JSON.stringify(applied.outcome), /no model lists/);
});

configuration('updates events to a new model version', () => {
  const fixture = makeReadyFixture();
  fixture.apply(makePut('model', 'lists', {...makeModel(), version: 'v2'}, 1));
  const event = fixture.state.configuration.findEvent('saturday')!;
  assert.is(event.needs[0]?.version, 'v2');
});

// Guards against a node of an older release that computes a different state
// after new rules are activated.
configuration('stops applying records under unsupported rules', () => {
  const fixture = new StateFixture();
  fixture.apply({type: 'activate-rules', rulesVersion: 99});
  assert.is(fixture.state.isSupported, false);
  const data = encodeBatch([fixture.makeRecord(makePut('team', 'pantry', {}))]);
  assert.equal(fixture.state.foldAppend(fixture.state.nextOffset, data), []);
  assert.is(fixture.state.nextOffset, 1);
});

configuration.run();
