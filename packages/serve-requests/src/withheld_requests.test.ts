import {
  type AnswerReceiver,
  type BackendCall,
  type BackendConnections,
} from '@mimosatack/backend-connections';
import {type BackendServerId} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PipelineFixture} from './pipeline_fixture.js';
import {type ServerAsk} from './server_chooser.js';
import {makeRequest, makeRoute, makeServer} from './test_fixtures.js';

const test = suite('requests that are withheld from unavailable servers');

/**
 * A pipeline whose chooser offers servers in their order.
 *
 * @param isStubborn whether it offers a server again that was given back.
 */
function createFixture(
  serverIds: readonly BackendServerId[],
  waits: Record<BackendServerId, number>,
  isStubborn = false,
) {
  const sentPorts: number[] = [];
  const servers = serverIds.map((id, port) =>
    makeServer({id, address: {ip: '127.0.0.1', port}}),
  );
  const choose = ({excluded}: ServerAsk) => {
    const offers = servers.filter(({id}) => !excluded.has(id));
    const [first] = isStubborn ? offers : [];
    const fresh = offers.find(({id}) => !fixture.released.includes(id));
    return first ?? fresh;
  };
  const connections = {
    send: (call: BackendCall, receiver: AnswerReceiver) => {
      sentPorts.push(call.address.port);
      queueMicrotask(() => {
        receiver.onHead(
          {status: 200, headers: []},
          {origin: 'own', earlierCalls: 0},
        );
        receiver.onEnd();
      });
      return {resume: () => undefined, abort: () => undefined};
    },
  } as unknown as BackendConnections;
  const fixture: PipelineFixture = new PipelineFixture({
    ...{routes: [makeRoute()], connections, choose, waits},
  });
  const serve = () => fixture.serve(makeRequest());
  const {logger, released, sink} = fixture;
  return {logger, released, sentPorts, sink, serve};
}

// Guards against a send to a server that was assigned by one that does not know.
test('a server that became unavailable is given back', async () => {
  const waits = {leaving: Infinity};
  const fixture = createFixture(['leaving', 'other'], waits);
  await fixture.serve();
  assert.equal(fixture.released, ['leaving']);
  assert.equal(fixture.sentPorts, [1]);
  assert.is(fixture.sink.status, 200);
  assert.equal(fixture.logger.fieldsOf('request-withheld'), [
    {requestId: 'r1', backendServerId: 'leaving', waitMs: null},
  ]);
});

// Guards against a request that is assigned the same server again and again.
test('an unavailable server that is chosen repeatedly is excluded', async () => {
  const waits = {paused: 700};
  const fixture = createFixture(['paused', 'other'], waits, true);
  await fixture.serve();
  assert.equal(fixture.released, ['paused', 'paused', 'paused']);
  assert.equal(fixture.sentPorts, [1]);
});

test.run();
