import {UsageError} from 'clipanion';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {describeDifference} from '../print/difference.js';
import {formatDuration} from '../print/times.js';
import {planChange, parseParameters} from './event_plans.js';
import {planAddToken, planRemoveToken} from './team_plans.js';

function makeDocument(kind: string, content: Record<string, unknown>) {
  return {kind, id: 'x', version: 3, sequence: 9, content};
}

const TEMPLATE = makeDocument('template', {
  parameters: {
    start: {type: 'time'},
    replicas: {type: 'number'},
    dark: {type: 'boolean'},
    places: {type: 'string-list'},
  },
});

const plans = suite('plans');

plans('parameters are parsed by the types that the template declares', () => {
  const texts = [
    ...['start=2030-01-01T18:00:00Z', 'replicas=2', 'dark=true'],
    ...['places=hel, slupsk', 'wind=a=b'],
  ];
  assert.equal(parseParameters(texts, TEMPLATE), {
    start: '2030-01-01T18:00:00Z',
    replicas: 2,
    dark: true,
    places: ['hel', 'slupsk'],
    wind: 'a=b',
  });
  assert.throws(
    () => parseParameters(['dark=maybe'], TEMPLATE),
    (thrown: unknown) => thrown instanceof UsageError,
  );
});

plans(
  'a change keeps the other fields and expects the version that was read',
  () => {
    const event = makeDocument('event', {
      team: 'zorza',
      template: 'sky',
      parameters: {start: 'a', replicas: 1, dark: true},
    });
    const plan = planChange(event, {
      parameters: {replicas: 2},
      unset: ['dark'],
    });
    assert.equal(plan.body, {
      expectedVersion: 3,
      content: {
        team: 'zorza',
        template: 'sky',
        parameters: {start: 'a', replicas: 2},
      },
      reason: undefined,
    });
  },
);

plans('a token is added to the existing ones and removed by name', () => {
  const known = {name: 'app', role: 'caller', tokenHash: 'h1'};
  const team = makeDocument('team', {displayName: 'Zorza', tokens: [known]});
  const token = {name: 'ola', role: 'operator' as const, tokenHash: 'h2'};
  const added = planAddToken(team, token).body as {content: unknown};
  assert.equal(added.content, {displayName: 'Zorza', tokens: [known, token]});
  const removed = planRemoveToken(team, 'app').body as {content: unknown};
  assert.equal(removed.content, {displayName: 'Zorza', tokens: []});
  assert.throws(() => planAddToken(team, {...token, name: 'app'}), /already/);
  assert.throws(() => planRemoveToken(team, 'ola'), /it has app/);
});

plans('a difference names the paths that changed', () => {
  const before = {event: {needs: [{replicas: 1}]}, team: 'zorza'};
  const after = {event: {needs: [{replicas: 2}]}, team: 'zorza', note: 'x'};
  assert.equal(describeDifference(before, after), [
    'event.needs.0.replicas: 1 -> 2',
    'note: (none) -> "x"',
  ]);
});

plans('durations are formatted in their two largest units', () => {
  assert.is(formatDuration(1_500), '1.5 s');
  assert.is(formatDuration(125_000), '2 min 5 s');
  assert.is(formatDuration(-3_660_000), '-1 h 1 min');
  assert.is(formatDuration(90_000_000), '1 d 1 h');
});

plans.run();
