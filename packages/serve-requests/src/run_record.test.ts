import {type BackendConnections} from '@mimosatack/backend-connections';
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type AttemptOutcome} from './attempt.js';
import {PipelineFixture} from './pipeline_fixture.js';
import {RunRecord, findRunKnowledge} from './run_record.js';
import {makeRequest, makeRoute, makeServer} from './test_fixtures.js';

const test = suite('what is known of the runs of a request');

const error = new TypedError('backend-failed', 'It failed.');
const notRun = (reason: 'unreachable' | 'not-taken'): AttemptOutcome => ({
  ...{status: 'not-run', error, reason},
});
const broken: AttemptOutcome = {
  ...{status: 'broken', error, isConnectionLost: true},
};

test('tells for each end of an attempt what is known', () => {
  const ends: Array<[AttemptOutcome, string]> = [
    [notRun('unreachable'), 'not-sent'],
    [notRun('not-taken'), 'not-run'],
    [{status: 'aborted', isSent: false}, 'not-sent'],
    [{status: 'aborted', isSent: true}, 'unknown'],
    [{status: 'refusing', error}, 'unknown'],
    [broken, 'unknown'],
    [{status: 'answered', isSuccess: false, isDelimited: true}, 'run'],
  ];
  ends.forEach(([outcome, knowledge]) =>
    assert.is(findRunKnowledge(outcome), knowledge),
  );
});

// Guards against 'not run' from the last attempt after an earlier one that may have run.
test('an attempt that may have run is never outweighed', () => {
  const record = new RunRecord();
  record.recordEnd(notRun('not-taken'));
  assert.not(record.mayHaveRun);
  record.recordEnd(broken);
  record.recordEnd(notRun('not-taken'));
  record.recordEnd(notRun('unreachable'));
  assert.ok(record.mayHaveRun);
});

/** Serves a request whose server is silent until the deadline. */
async function serveUntilDeadline(isSent: boolean) {
  const handle = {
    ...{isSent, resume: () => undefined, abort: () => undefined},
  };
  const fixture = new PipelineFixture({
    routes: [makeRoute()],
    connections: {send: () => handle} as unknown as BackendConnections,
    choose: () => makeServer(),
  });
  const served = fixture.serve(makeRequest());
  await new Promise(resolve => setImmediate(resolve));
  fixture.clock.advance(makeRoute().timeoutMs);
  await served;
  return fixture.sink.error;
}

// Guards against a request that was never sent and is not allowed to come back.
test('a request that waits for a connection until its deadline has not run', async () => {
  const refusal = await serveUntilDeadline(false);
  assert.is(refusal?.kind, 'overloaded');
  assert.is(refusal?.run, 'not-run');
});

// Guards against a promise for a request that a silent server may still run.
test('a request that was sent to a silent server may have run', async () => {
  const failure = await serveUntilDeadline(true);
  assert.is(failure?.kind, 'deadline-exceeded');
  assert.is(failure?.run, 'unknown');
});

test.run();
