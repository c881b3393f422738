import {readFileSync} from 'node:fs';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  ERROR_KINDS,
  TypedError,
  findErrorKindInfo,
  formatErrorBody,
  formatKindsAsMarkdown,
  toTypedError,
} from './index.js';

const errors = suite('typed errors');

errors('every kind names a remedy and an HTTP error status', () => {
  ERROR_KINDS.forEach(kind => {
    const {remedy, httpStatus} = findErrorKindInfo(kind);
    assert.match(remedy, /\.$/, kind);
    assert.ok(httpStatus >= 400 && httpStatus < 600, kind);
  });
});

errors("the kind's remedy is used unless the error has its own", () => {
  const general = new TypedError('conflict', 'Version 3 is gone.');
  const own = new TypedError('conflict', 'Gone.', {remedy: 'Use version 4.'});
  assert.is(general.remedy, findErrorKindInfo('conflict').remedy);
  assert.is(own.remedy, 'Use version 4.');
  assert.is(general.name, 'conflict');
});

errors('the message ends with the message of the cause', () => {
  const cause = new Error('connection reset');
  const error = new TypedError('backend-failed', 'No answer', {cause});
  assert.is(error.message, 'No answer: connection reset');
  assert.is(error.summary, 'No answer');
});

errors('a percent sign in the summary stays as it is', () => {
  assert.is(new TypedError('overloaded', '90%s full').message, '90%s full');
});

errors('withRun keeps all other fields', () => {
  const details = {retryAfterMs: 50, info: {pool: 'sage-llm'}};
  const error = new TypedError('overloaded', 'Full.', details);
  const withOutcome = error.withRun('not-run');
  assert.is(withOutcome.run, 'not-run');
  assert.is(error.run, undefined);
  assert.equal(formatErrorBody(withOutcome), {
    error: {
      kind: 'overloaded',
      message: 'Full.',
      remedy: findErrorKindInfo('overloaded').remedy,
      run: 'not-run',
      retryAfterMs: 50,
      info: {pool: 'sage-llm'},
    },
  });
});

errors(
  'toTypedError keeps typed errors and converts others to internal',
  () => {
    const error = new TypedError('trimmed', 'Too old.');
    assert.is(toTypedError(error), error);
    assert.is(toTypedError('boom').kind, 'internal');
  },
);

errors('toTypedError does not repeat the message', () => {
  const message = 'Something unexpected failed: boom';
  assert.is(toTypedError(new Error('boom')).message, message);
  assert.is(toTypedError('boom').message, message);
});

errors('docs/operators/refusals.md is current', () => {
  const page = new URL('../../../docs/operators/refusals.md', import.meta.url);
  assert.fixture(readFileSync(page, 'utf8'), formatKindsAsMarkdown());
});

errors.run();
