import {toTypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {makeChunk} from './answer_fixture.js';
import {
  DeliveredText,
  END_OF_ANSWER,
  type StreamEvent,
  continueOnAnotherReplica,
  isDeterministic,
} from './index.js';

const test = suite('continuation on another replica');

async function continueWith(delivered: string[], secondRun: string[]) {
  const text = new DeliveredText();
  text.addEvents(delivered.map((part, id) => makeChunk(id, part)));
  const rest: StreamEvent[] = [];
  try {
    for await (const events of continueOnAnotherReplica(
      text,
      stream(secondRun),
    )) {
      rest.push(...events);
      text.addEvents(events);
    }
    return {rest, error: null};
  } catch (thrown) {
    return {rest, error: toTypedError(thrown)};
  }
}

async function* stream(parts: string[]): AsyncGenerator<StreamEvent[]> {
  const end = {id: parts.length, data: END_OF_ANSWER};
  const chunks = parts.map((part, id) => makeChunk(id, part, 'second-run'));
  for (const event of [...chunks, end]) yield [event];
}

function textsOf(events: readonly StreamEvent[]): string[] {
  return events
    .filter(event => event.data !== END_OF_ANSWER)
    .map(event => JSON.parse(event.data) as {choices: ChoiceShape[]})
    .map(({choices}) => choices[0]?.delta.content ?? '');
}

interface ChoiceShape {
  delta: {content: string};
}

test('the rest follows without repeated text across chunks', async () => {
  const {rest, error} = await continueWith(
    ['one ', 'two '],
    ['one', ' two three ', 'four'],
  );
  assert.is(error, null);
  assert.equal(textsOf(rest), ['three ', 'four']);
  assert.equal(
    rest.map(event => event.id),
    [2, 3, 4],
  );
});

test('a second run with a different prefix is rejected', async () => {
  // Guards against a response that mixes text of two different samples.
  const {rest, error} = await continueWith(
    ['one ', 'two '],
    ['one ', 'ten ', 'more '],
  );
  assert.equal(rest, []);
  assert.is(error?.kind, 'stream-broken');
});

test('a second run that is shorter is rejected', async () => {
  const {rest, error} = await continueWith(['one ', 'two '], ['one ']);
  assert.equal(rest, []);
  assert.is(error?.kind, 'stream-broken');
});

test('a response with tool calls cannot be matched', async () => {
  const text = new DeliveredText();
  text.addEvents([{id: 0, data: '{"choices":[{"delta":{"tool_calls":[]}}]}'}]);
  assert.not(text.canVerifyPrefix);
});

test('only temperature 0 or a seed counts as deterministic', () => {
  assert.ok(isDeterministic({temperature: 0}));
  assert.ok(isDeterministic({temperature: 1, seed: 7}));
  assert.not(isDeterministic({}));
  assert.not(isDeterministic({temperature: 0, n: 2}));
});

test.run();
