import {
  type AnswerReceiver,
  type BackendCall,
  type BackendConnections,
  RELAY_LOST,
} from '@mimosatack/backend-connections';
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Attempt, type AttemptOptions, type AttemptOutcome} from './attempt.js';
import {makeRequest, makeServer} from './test_fixtures.js';

const test = suite('attempts over a relaying host');

/** The outcome of an attempt whose connection breaks before a response. */
function breakAttempt(reason?: string): Promise<AttemptOutcome> {
  const connections = {
    send: (_call: BackendCall, receiver: AnswerReceiver) => {
      queueMicrotask(() =>
        receiver.onFailure(
          new TypedError('backend-failed', 'Broken.', {
            ...{run: 'unknown', info: {reason}},
          }),
        ),
      );
      return {isSent: true, resume: () => undefined, abort: () => undefined};
    },
  } as unknown as BackendConnections;
  const attempt = new Attempt({
    ...{connections, request: makeRequest()},
    dialect: {makeHeaders: () => []},
    terms: {server: makeServer()},
  } as unknown as AttemptOptions);
  attempt.start();
  return attempt.outcome;
}

function isConnectionLost(outcome: AttemptOutcome): boolean {
  assert.is(outcome.status, 'broken');
  return outcome.status === 'broken' && outcome.isConnectionLost;
}

// Guards against requests that are contained as crashing since hosts that relayed them were
// lost.
test('the loss of a relaying host is no sign that the server has crashed', async () => {
  assert.not(isConnectionLost(await breakAttempt(RELAY_LOST)));
  assert.ok(isConnectionLost(await breakAttempt()));
});

test.run();
