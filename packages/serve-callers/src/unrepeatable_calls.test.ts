import {AgreedState} from '@mimosatack/agreed-state';
import {type ErrorBody} from '@mimosatack/errors';
import {encodeBatch} from '@mimosatack/records';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {startEntry, startWarmEngine} from './caller_fixture.js';
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

test('a document or an active event of the team requires it', () => {
  const state = createState();
  const is = (team: string, call: string, atMs: number) =>
    isUnrepeatableCall({team, service: 'notify', call}, state, atMs);
  assert.ok(is('zorza', 'dispatch', 0));
  assert.not(is('pantry', 'push', STARTS_AT_MS - 1));
  assert.ok(is('pantry', 'push', STARTS_AT_MS));
  assert.not(is('pantry', 'push', STARTS_AT_MS + 60_000));
  assert.not(is('zorza', 'push', STARTS_AT_MS));
});

test('the header requests it with true or false only', () => {
  assert.ok(readUnrepeatable({'x-unrepeatable': 'true'}));
  assert.not(readUnrepeatable({'x-unrepeatable': 'false'}));
  assert.not(readUnrepeatable({}));
  assert.throws(
    () => readUnrepeatable({'x-unrepeatable': 'yes'}),
    (error: {kind: string}) => error.kind === 'bad-request',
  );
});

test('a starting or stopping node reports keys as unknown', async () => {
  // Guards against a `not-run` for a request that another node has run.
  const engine = await startWarmEngine('r1');
  const entry = await startEntry('n1', [engine]);
  const send = async (headers: Record<string, string>) => {
    const url = `${entry.baseUrl}/v1/services/notify/dispatch`;
    const answer = await fetch(url, {method: 'POST', headers});
    const {error} = (await answer.json()) as {error: ErrorBody['error']};
    return `${error.kind} ${error.run}`;
  };
  const keyed = {'idempotency-key': 'order-17'};
  entry.gate.applyPhase('starting');
  assert.is(await send(keyed), 'overloaded unknown');
  entry.gate.applyPhase('refusing');
  assert.is(await send(keyed), 'shutting-down unknown');
  assert.is(await send({}), 'shutting-down not-run');
  await entry.kill();
  await engine.close();
});

test.run();
