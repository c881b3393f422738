import {toTypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {REQUEST_ID, untilAborted} from './answer_fixture.js';
import {readWholeAnswer} from './index.js';

const test = suite('complete responses');

const VALID_RESPONSE = JSON.stringify({
  request_id: REQUEST_ID,
  choices: [{message: {content: 'good morning'}}],
});

async function read(parts: string[], failure?: Error) {
  const bytes = (async function* () {
    for (const part of parts) yield Buffer.from(part);
    if (failure) throw failure;
  })();
  const signal = new AbortController().signal;
  const options = {requestId: REQUEST_ID, maxAnswerBytes: 1_000, signal};
  return readWholeAnswer({bytes, close: () => undefined}, options).then(
    body => body.toString(),
    (thrown: unknown) => toTypedError(thrown).kind,
  );
}

test('a valid response is returned unchanged', async () => {
  assert.is(
    await read([VALID_RESPONSE.slice(0, 9), VALID_RESPONSE.slice(9)]),
    VALID_RESPONSE,
  );
});

test('a truncated response is rejected', async () => {
  // Guards against incomplete JSON after a reset or an orderly close.
  assert.is(await read([VALID_RESPONSE.slice(0, 9)]), 'backend-failed');
  const reset = new Error('connection reset');
  assert.is(await read([VALID_RESPONSE.slice(0, 9)], reset), 'backend-failed');
});

test("another request's response is rejected", async () => {
  // Guards against an engine that sends one caller the text of another.
  const foreign = VALID_RESPONSE.replace(REQUEST_ID, 'q2');
  assert.is(await read([foreign]), 'backend-failed');
});

test('a response above the size limit is rejected', async () => {
  assert.is(
    await read([VALID_RESPONSE, ' '.repeat(1_000)]),
    'answer-too-large',
  );
});

test('a deadline stops reading from an unresponsive engine', async () => {
  const closing = new AbortController();
  const deadline = new AbortController();
  const bytes = (async function* () {
    yield Buffer.from('{');
    await untilAborted(closing.signal);
  })();
  const reading = readWholeAnswer(
    {bytes, close: () => closing.abort()},
    {requestId: REQUEST_ID, maxAnswerBytes: 9, signal: deadline.signal},
  ).catch(toTypedError);
  setImmediate(() => deadline.abort());
  const outcome = await reading;
  assert.is(outcome instanceof Error && outcome.name, 'deadline-exceeded');
});

test.run();
