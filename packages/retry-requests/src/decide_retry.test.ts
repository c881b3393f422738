import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type FailedAttempt, decideRetry} from './decide_retry.js';
import {RetryBudget} from './retry_budget.js';

const test = suite('retries');

const FAILED: FailedAttempt = {
  attempts: 1,
  isRepeatable: true,
  hasResponseStarted: false,
  isRetryable: true,
  remainingMs: 1_000,
};

test('retries only if it is safe, useful and before the deadline', () => {
  const decide = (change: Partial<FailedAttempt>) =>
    decideRetry({...FAILED, ...change}, new RetryBudget(0.1));
  assert.is(decide({}), 'retry');
  assert.is(decide({isRepeatable: false}), 'unrepeatable');
  assert.is(decide({hasResponseStarted: true}), 'answer-begun');
  assert.is(decide({isRetryable: false}), 'pointless');
  assert.is(decide({attempts: 3}), 'too-many-attempts');
  assert.is(decide({remainingMs: 0}), 'deadline');
});

// Guards against retries that multiply the load while all backend servers fail.
test('limits retries to the budget when all requests fail', () => {
  const budget = new RetryBudget(0.1);
  const decisions = Array.from({length: 1_000}, () => {
    budget.noteRequest();
    return decideRetry(FAILED, budget);
  });
  const retried = decisions.filter(decision => decision === 'retry').length;
  assert.ok(retried >= 100 && retried <= 110, `${retried}`);
});

test.run();
