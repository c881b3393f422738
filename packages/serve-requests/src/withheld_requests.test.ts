import {
  type AnswerReceiver,
  type BackendCall,
  type BackendConnections,
} from '@mimosatack/backend-connections';
import {ManualClock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import {type BackendServerId} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type AnswerSink} from './caller_request.js';
import {RequestPipeline} from './request_pipeline.js';
import {ResponseHeadTimes} from './response_head_times.js';
import {RetryAllowance} from './retry_allowance.js';
import {type ChosenServer, type ServerAsk} from './server_chooser.js';
import {
  makeRequest,
  makeRoute,
  makeServer,
  makeService,
} from './test_fixtures.js';

const test = suite('requests that are withheld from unavailable servers');

class RecordingSink implements AnswerSink {
  readonly gone = new AbortController().signal;
  hasBegun = false;
  status = 0;
  error: TypedError | null = null;

  refuse(error: TypedError): void {
    this.error = error;
  }

  begin(status: number): void {
    this.hasBegun = true;
    this.status = status;
  }

  write(): boolean {
    return true;
  }

  onDrain(): void {}
  end(): void {}
  abort(): void {}
}

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
  const clock = new ManualClock();
  const logger = new MemoryEventLogger();
  const released: BackendServerId[] = [];
  const sentPorts: number[] = [];
  const servers = serverIds.map((id, port) =>
    makeServer({id, address: {ip: '127.0.0.1', port}}),
  );
  const choose = ({excluded}: ServerAsk) => {
    const offers = servers.filter(({id}) => !excluded.has(id));
    const [first] = isStubborn ? offers : [];
    const fresh = offers.find(({id}) => !released.includes(id));
    return Promise.resolve(makeChoice(first ?? fresh));
  };
  const pipeline = new RequestPipeline({
    ...{clock, logger, random: new SeededRandom(1)},
    connections: {
      send: (call: BackendCall, receiver: AnswerReceiver) => {
        sentPorts.push(call.address.port);
        queueMicrotask(() => {
          receiver.onHead({status: 200, headers: []});
          receiver.onEnd();
        });
        return {resume: () => undefined, abort: () => undefined};
      },
    } as unknown as BackendConnections,
    dialect: {
      makeHeaders: () => [],
      readHead: ({status}) => ({
        ...{status, headers: [], isNotRun: false, isMisdirected: false},
        ...{isGenuine: true, load: null, limit: null},
        availability: {isLeaving: false, pauseMs: null, invalidHeaders: []},
      }),
    },
    chooser: {
      choose,
      release: ({server}) => released.push(server.id),
      recordSent: () => undefined,
      recordLoad: () => undefined,
      recordResult: () => undefined,
    },
    retries: new RetryAllowance({
      clock,
      bound: () => ({ratio: 0.2, slack: 10, windowMs: 10_000}),
      findShare: () => 1,
    }),
    headTimes: new ResponseHeadTimes(),
    streams: {
      record: () => undefined,
      find: () => Promise.reject(new Error('not resumed')),
    },
    crashes: {
      isSuspected: () => false,
      hasSuspects: false,
      isPathSuspected: () => false,
      isContained: () => false,
      openProbe: () => false,
      endProbe: () => undefined,
      recordConnectionLoss: () => undefined,
      recordSuccess: () => undefined,
    },
    suspects: {
      makeRunId: () => 'run-1',
      acquire: () => Promise.resolve(true),
      release: () => undefined,
    },
    access: {isConfirmed: true, check: () => ({team: null})},
    limits: {recordResponse: () => undefined},
    availability: {
      findWaitMs: ({id}) => waits[id] ?? 0,
      recordResponse: () => undefined,
    },
  });
  pipeline.configure({
    ...{version: 1, routes: [makeRoute()], services: [makeService()]},
    teams: null,
    limits: {
      ...{maxHeaderBytes: 1, maxBodyBytes: 1},
      ...{headerTimeoutMs: 1, idleTimeoutMs: 1},
    },
  });
  const sink = new RecordingSink();
  const serve = () => pipeline.serve(makeRequest(), sink);
  return {logger, released, sentPorts, sink, serve};
}

function makeChoice(server = makeServer()): ChosenServer {
  return {status: 'chosen', server, basis: {by: 'schedule'}, askId: 'a1'};
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
