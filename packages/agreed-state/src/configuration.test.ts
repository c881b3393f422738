import {encodeBatch} from '@mimosatack/records';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BASIS_HORIZON} from './agreed_state.js';
import {
  FoldBench,
  makeEvent,
  makeModel,
  makePut,
  makeReadyBench,
  makeTemplate,
  verdictOf,
} from './test_fixtures.js';

const configuration = suite('configuration');

// Two operators change the same template at once. Both were told that their
// change was sent; the first in the log wins and the second hears of it,
// instead of silently undoing the first.
configuration('lets the first of two racing changes win', () => {
  const bench = makeReadyBench();
  const first = makePut('template', 'window', makeTemplate(), 1);
  const second = {...first, content: {...makeTemplate(), description: 'late'}};
  assert.is(verdictOf(bench.fold(first)), 'valid');
  const folded = bench.fold(second);
  assert.is(verdictOf(folded), 'version-conflict');
  assert.match(JSON.stringify(folded.outcome), /at version 2, not 1; record 7/);
});

// An operator publishes version 1, then 2. The answer to the first publish was
// lost, so its node appends it again, after the second. The template must not
// fall back to version 1.
configuration('drops a late copy of an old publish', () => {
  const bench = new FoldBench();
  bench.fold(makePut('team', 'pantry', {}));
  const old = bench.makeRecord(makePut('template', 'window', makeTemplate()));
  bench.foldRecord(old);
  const newer = {...makeTemplate(), description: 'newer'};
  bench.fold(makePut('template', 'window', newer, 1));
  assert.is(verdictOf(bench.foldRecord(old)), 'duplicate');
  const {content, version} = bench.state.configuration.find(
    'template',
    'window',
  )!;
  assert.equal([version, content.description], [2, 'newer']);
});

// A publish hangs somewhere for so long that its id is forgotten, and the
// document was deleted meanwhile. Arriving at last, it must not bring the
// document back.
configuration('drops a record written beyond the horizon', () => {
  const bench = new FoldBench();
  const late = bench.makeRecord(makePut('team', 'pantry', {}));
  bench.state.sequence = BASIS_HORIZON + 1;
  assert.is(verdictOf(bench.foldRecord(late)), 'stale-basis');
});

// An event is deleted and created again under the same name. A late change
// made against the old one must not touch the new one.
configuration('goes on counting versions over a delete', () => {
  const bench = makeReadyBench();
  const remove = {
    type: 'delete-document' as const,
    kind: 'event' as const,
    id: 'saturday',
    expectedVersion: 1,
  };
  bench.fold(remove);
  const event = makeEvent('2027-01-02T10:00:00Z');
  const asNew = bench.fold(makePut('event', 'saturday', event));
  assert.is(verdictOf(asNew), 'version-conflict');
  assert.is(
    verdictOf(bench.fold(makePut('event', 'saturday', event, 2))),
    'valid',
  );
  const late = makePut('event', 'saturday', event, 1);
  assert.is(verdictOf(bench.fold(late)), 'version-conflict');
});

configuration('resolves events again when their template changes', () => {
  const bench = makeReadyBench();
  const before = bench.state.configuration.findEvent('saturday')!;
  const template = makeTemplate();
  const longer = {
    ...template,
    event: {...(template['event'] as object), durationMinutes: 60},
  };
  bench.fold(makePut('template', 'window', longer, 1));
  const after = bench.state.configuration.findEvent('saturday')!;
  assert.is(after.endsAtMs - after.startsAtMs, 60 * 60_000);
  assert.ok(after.revision > before.revision);
});

configuration('refuses a template that breaks an event made from it', () => {
  const bench = makeReadyBench();
  const broken = {...makeTemplate(), parameters: {start: {type: 'time'}}};
  const folded = bench.fold(makePut('template', 'window', broken, 1));
  assert.is(verdictOf(folded), 'invalid-content');
  assert.match(JSON.stringify(folded.outcome), /event saturday/);
  assert.is(bench.state.configuration.find('template', 'window')!.version, 1);
});

configuration('keeps a pinned event on its template version', () => {
  const bench = makeReadyBench();
  const event = {...makeEvent('2027-01-03T10:00:00Z'), templateVersion: 1};
  bench.fold(makePut('event', 'sunday', event));
  const template = makeTemplate();
  const longer = {
    ...template,
    event: {...(template['event'] as object), durationMinutes: 60},
  };
  bench.fold(makePut('template', 'window', longer, 1));
  const {endsAtMs, startsAtMs} = bench.state.configuration.findEvent('sunday')!;
  assert.is(endsAtMs - startsAtMs, 30 * 60_000);
});

configuration('names every fault of an event', () => {
  const bench = makeReadyBench();
  const content = {
    team: 'pantry',
    template: 'window',
    parameters: {start: 'tomorrow', replicas: 9, colour: 'red'},
  };
  const {outcome} = bench.fold(makePut('event', 'monday', content));
  const message = outcome.status === 'void' ? outcome.message : '';
  assert.match(message, /colour: the template has no such parameter/);
  assert.match(message, /start: give an ISO 8601 time with a time zone/);
  assert.match(message, /replicas: give at most 4/);
});

configuration('keeps what is in use', () => {
  const bench = makeReadyBench();
  const folded = bench.fold({
    type: 'delete-document',
    kind: 'model',
    id: 'lists',
    expectedVersion: 1,
  });
  assert.is(verdictOf(folded), 'in-use');
});

configuration('refuses references to what is not there', () => {
  const bench = new FoldBench();
  const template = bench.fold(makePut('template', 'window', makeTemplate()));
  assert.is(verdictOf(template), 'unknown-reference');
  bench.fold(makePut('team', 'pantry', {}));
  bench.fold(makePut('template', 'window', makeTemplate()));
  const event = makeEvent('2027-01-01T10:00:00Z');
  const folded = bench.fold(makePut('event', 'saturday', event));
  assert.is(verdictOf(folded), 'invalid-content');
  assert.match(JSON.stringify(folded.outcome), /no model lists/);
});

configuration('moves events to a new model version', () => {
  const bench = makeReadyBench();
  bench.fold(makePut('model', 'lists', {...makeModel(), version: 'v2'}, 1));
  const event = bench.state.configuration.findEvent('saturday')!;
  assert.is(event.needs[0]?.version, 'v2');
});

// New rules are activated while a node of an older release still runs. It must
// stop there instead of folding on by the old rules and going its own way.
configuration('stops folding when unknown rules are in force', () => {
  const bench = new FoldBench();
  bench.fold({type: 'activate-rules', rulesVersion: 99});
  assert.is(bench.state.isSupported, false);
  const data = encodeBatch([bench.makeRecord(makePut('team', 'pantry', {}))]);
  assert.equal(bench.state.foldAppend(bench.state.nextOffset, data), []);
  assert.is(bench.state.nextOffset, 1);
});

configuration.run();
