import {
  type AnswerReceiver,
  type BackendCall,
  type BackendConnections,
} from '@mimosatack/backend-connections';
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PipelineFixture} from './pipeline_fixture.js';
import {makeRequest, makeRoute, makeServer} from './test_fixtures.js';

const test = suite('streams whose events have no ids');

// Guards against events that a caller gets twice: without the id of the last event, the next
// server begins the stream anew.
test('a stream that has begun is not continued without the id of its last event', async () => {
  let calls = 0;
  const connections = {
    send: (_call: BackendCall, receiver: AnswerReceiver) => {
      calls += 1;
      const isFirst = calls === 1;
      queueMicrotask(() => {
        receiver.onHead(
          {status: 200, headers: []},
          {origin: 'own', earlierCalls: 0},
        );
        receiver.onData(Buffer.from('data: a\n\n'));
        if (isFirst) {
          receiver.onFailure(
            new TypedError('backend-failed', 'Broken.', {run: 'unknown'}),
          );
          return;
        }
        receiver.onData(Buffer.from('data: b\n\n'));
        receiver.onEnd();
      });
      return {isSent: true, resume: () => undefined, abort: () => undefined};
    },
  } as unknown as BackendConnections;
  const fixture = new PipelineFixture({
    routes: [makeRoute({kind: 'streaming', isResumable: true})],
    connections,
    choose: ({excluded}) =>
      ['i-1', 'i-2'].map(id => makeServer({id})).find(s => !excluded.has(s.id)),
  });
  const written: string[] = [];
  Object.assign(fixture.sink, {
    write: (chunk: Uint8Array) => written.push(Buffer.from(chunk).toString()),
  });
  await fixture.serve(makeRequest());
  assert.equal(
    written.filter(event => event === 'data: a\n\n'),
    ['data: a\n\n'],
  );
});

test.run();
