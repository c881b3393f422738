import {AgreedState} from '@mimosatack/agreed-state';
import {encodeBatch} from '@mimosatack/records';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {isUnrepeatableCall, readUnrepeatable} from './unrepeatable_calls.js';

const STARTS_AT_MS = 1_800_000_000_000;

function createState(): AgreedState {
  const documents = [
    {kind: 'team', id: 'pantry', content: {}},
    {kind: 'team', id: 'zorza', content: {}},
    {
      kind: 'service',
      id: 'notify',
      content: {pool: 'app', calls: {push: {}, dispatch: {unrepeatable: true}}},
    },
    {
      kind: 'template',
      id: 'window',
      content: {
        team: 'pantry',
        event: {
          startsAt: STARTS_AT_MS,
          durationMinutes: 1,
          unrepeatable: [{service: 'notify', call: 'push'}],
        },
      },
    },
    {
      kind: 'event',
      id: 'friday',
      content: {team: 'pantry', template: 'window'},
    },
  ] as const;
  const state = new AgreedState();
  const records = documents.map((document, index) => ({
    recordId: `record-${index}`,
    author: 'node-1.12345678',
    basisSequence: index,
    writtenAtMs: 0,
    operator: null,
    reason: null,
    body: {type: 'put-document' as const, expectedVersion: 0, ...document},
  }));
  const folded = state.foldAppend(0, encodeBatch(records));
  assert.ok(folded.every(({outcome}) => outcome.status === 'valid'));
  return state;
}

const test = suite('unrepeatable calls');

test('a document, or an active event of the team, asks for it', () => {
  const state = createState();
  const is = (team: string, call: string, atMs: number) =>
    isUnrepeatableCall({team, service: 'notify', call}, state, atMs);
  assert.ok(is('zorza', 'dispatch', 0));
  assert.not(is('pantry', 'push', STARTS_AT_MS - 1));
  assert.ok(is('pantry', 'push', STARTS_AT_MS));
  assert.not(is('pantry', 'push', STARTS_AT_MS + 60_000));
  assert.not(is('zorza', 'push', STARTS_AT_MS));
});

test('a caller may ask for it, in clear words', () => {
  assert.ok(readUnrepeatable({'x-unrepeatable': 'true'}));
  assert.not(readUnrepeatable({'x-unrepeatable': 'false'}));
  assert.not(readUnrepeatable({}));
  assert.throws(
    () => readUnrepeatable({'x-unrepeatable': 'yes'}),
    (error: {kind: string}) => error.kind === 'bad-request',
  );
});

test.run();
