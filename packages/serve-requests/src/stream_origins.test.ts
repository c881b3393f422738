import {
  type AnswerReceiver,
  type BackendCall,
  type BackendConnections,
} from '@mimosatack/backend-connections';
import {TypedError} from '@mimosatack/errors';
import {type StreamOrigin} from '@mimosatack/track-streams';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PipelineFixture} from './pipeline_fixture.js';
import {makeRequest, makeRoute, makeServer} from './test_fixtures.js';

const test = suite('origins of streams that requests begin');

const ROUTE = makeRoute({
  ...{kind: 'streaming', isResumable: true, maxAttempts: 3},
});
const SERVERS = [
  makeServer({id: 's1', softwareVersion: 'v1'}),
  makeServer({id: 's2', softwareVersion: 'v2'}),
];
const EVENT = Buffer.from('id: 1\ndata: a\n\n');

/** The first server may break off before its first event; the others answer. */
function makeConnections(isFirstBroken = true): BackendConnections {
  let calls = 0;
  const answer = (receiver: AnswerReceiver, isFirst: boolean) => {
    receiver.onHead(
      {status: 200, headers: []},
      {origin: 'own', earlierCalls: 0},
    );
    if (isFirst) {
      return receiver.onFailure(new TypedError('backend-failed', 'Broken.'));
    }
    receiver.onData(EVENT);
    receiver.onEnd();
  };
  return {
    send: (_: BackendCall, receiver: AnswerReceiver) => {
      calls += 1;
      const isFirst = calls === 1 && isFirstBroken;
      queueMicrotask(() => answer(receiver, isFirst));
      return {resume: () => undefined, abort: () => undefined};
    },
  } as unknown as BackendConnections;
}

// Guards against other hosts that are told of a server which did not begin the stream.
test('only the server that brings the first event is recorded', async () => {
  const recorded: Array<[string, StreamOrigin]> = [];
  const fixture = new PipelineFixture({
    ...{routes: [ROUTE], connections: makeConnections()},
    choose: ({excluded}) => SERVERS.find(({id}) => !excluded.has(id)),
    streams: {
      record: ({requestId}, origin) => recorded.push([requestId, origin]),
      find: () => Promise.reject(new Error('No stream is resumed.')),
      mayBegin: () => true,
      mayBeginSoon: () => true,
      waitUntilRecorded: () => Promise.resolve(true),
    },
  });
  await fixture.serve(makeRequest());
  assert.is(fixture.sink.status, 200);
  assert.equal(recorded, [['r1', {service: 'writers', softwareVersion: 'v2'}]]);
});

// Guards against a stream of a software version that no record names when all hosts are
// lost, and against a stream that isn't served though a server of another one is free.
test('a server whose version is not recorded in time is left for another', async () => {
  const recorded: string[] = [];
  const fixture = new PipelineFixture({
    ...{routes: [ROUTE], connections: makeConnections(false)},
    choose: ({excluded}) => SERVERS.find(({id}) => !excluded.has(id)),
    streams: {
      record: (_key, {softwareVersion}) => recorded.push(softwareVersion),
      find: () => Promise.reject(new Error('No stream is resumed.')),
      mayBegin: ({softwareVersion}) => softwareVersion !== 'v1',
      mayBeginSoon: () => true,
      waitUntilRecorded: () => Promise.resolve(false),
    },
  });
  await fixture.serve(makeRequest());
  assert.is(fixture.sink.status, 200);
  assert.equal(recorded, ['v2']);
  assert.equal(fixture.released, ['s1']);
});

/** Serves a stream while no stream may begin at one version until it is waited for. */
async function serveWithNewVersion(newVersion: string, servers = SERVERS) {
  const recorded: string[] = [];
  let waits = 0;
  const fixture = new PipelineFixture({
    ...{routes: [ROUTE], connections: makeConnections(false)},
    choose: ({excluded}) => servers.find(({id}) => !excluded.has(id)) ?? null,
    streams: {
      record: (_key, {softwareVersion}) => recorded.push(softwareVersion),
      find: () => Promise.reject(new Error('No stream is resumed.')),
      mayBegin: ({softwareVersion}) =>
        waits > 0 || softwareVersion !== newVersion,
      mayBeginSoon: ({softwareVersion}) =>
        waits > 0 || softwareVersion !== newVersion,
      waitUntilRecorded: () => {
        waits += 1;
        return Promise.resolve(true);
      },
    },
  });
  await fixture.serve(makeRequest());
  return {recorded, status: fixture.sink.status, waits};
}

// Guards against streams that wait for a new version while servers of another are free.
test('a stream does not wait for a new version where there is another', async () => {
  const {recorded, status, waits} = await serveWithNewVersion('v1');
  assert.is(status, 200);
  assert.equal(recorded, ['v2']);
  assert.is(waits, 0);
});

// Guards against streams that are refused though the new version takes them in seconds.
test('a stream waits for a new version where there is no other', async () => {
  const {recorded, status, waits} = await serveWithNewVersion(
    'v1',
    SERVERS.slice(0, 1),
  );
  assert.is(status, 200);
  assert.equal(recorded, ['v1']);
  assert.is(waits, 1);
});

test.run();
