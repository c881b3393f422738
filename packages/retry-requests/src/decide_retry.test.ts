import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type FailedAttempt, decideRetry} from './decide_retry.js';
import {RetryBudget} from './retry_budget.js';

const test = suite('retries');

const FAILED: FailedAttempt = {
  attempts: 1,
  isRepeatable: true,
  hasAnswerBegun: false,
  isWorthRetrying: true,
  remainingMs: 1_000,
};

test('retries only what is safe, worth it and in time', () => {
  const decide = (change: Partial<FailedAttempt>) =>
    decideRetry({...FAILED, ...change}, new RetryBudget(0.1));
  assert.is(decide({}), 'retry');
  assert.is(decide({isRepeatable: false}), 'unrepeatable');
  assert.is(decide({hasAnswerBegun: true}), 'answer-begun');
  assert.is(decide({isWorthRetrying: false}), 'pointless');
  assert.is(decide({attempts: 3}), 'too-many-attempts');
  assert.is(decide({remainingMs: 0}), 'deadline');
});

/*
 * Every backend server fails. Users' requests are each sent again, which
 * would double or treble the load while the servers come back; the budget
 * keeps the retries at a tenth.
 */
test('keeps retries a small share when everything fails', () => {
  const budget = new RetryBudget(0.1);
  const decisions = Array.from({length: 1_000}, () => {
    budget.noteRequest();
    return decideRetry(FAILED, budget);
  });
  const retried = decisions.filter(decision => decision === 'retry').length;
  assert.ok(retried >= 100 && retried <= 110, `${retried}`);
});

test.run();
