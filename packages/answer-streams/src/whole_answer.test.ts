import {toTypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {REQUEST_ID, untilAborted} from './answer_fixture.js';
import {readWholeAnswer} from './index.js';

const test = suite('whole answers');

const RIGHT = JSON.stringify({
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

test('the right answer passes unchanged', async () => {
  assert.is(await read([RIGHT.slice(0, 9), RIGHT.slice(9)]), RIGHT);
});

test('an answer that is cut short is not passed on', async () => {
  // A caller would get half a JSON text as an answer: the engine dies, or
  // closes in good order, in the middle of it.
  assert.is(await read([RIGHT.slice(0, 9)]), 'backend-failed');
  const reset = new Error('connection reset');
  assert.is(await read([RIGHT.slice(0, 9)], reset), 'backend-failed');
});

test("another request's answer is not passed on", async () => {
  // A caller would read a stranger's answer: the engine mixes up two
  // requests that it answers at the same time.
  const foreign = RIGHT.replace(REQUEST_ID, 'q2');
  assert.is(await read([foreign]), 'backend-failed');
});

test('an answer over its limit ends with its kind', async () => {
  assert.is(await read([RIGHT, ' '.repeat(1_000)]), 'answer-too-large');
});

test('a deadline ends the reading of a silent engine', async () => {
  const closing = new AbortController();
  const aborting = new AbortController();
  const bytes = (async function* () {
    yield Buffer.from('{');
    await untilAborted(closing.signal);
  })();
  const reading = readWholeAnswer(
    {bytes, close: () => closing.abort()},
    {requestId: REQUEST_ID, maxAnswerBytes: 9, signal: aborting.signal},
  ).catch(toTypedError);
  setImmediate(() => aborting.abort());
  const outcome = await reading;
  assert.is(outcome instanceof Error && outcome.name, 'deadline-exceeded');
});

test.run();
