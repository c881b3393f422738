import {TypedError} from '@mimosatack/errors';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type Connection,
  type Engine,
  makeAnswer,
  makeChunk,
  makeKeeper,
  readFrom,
} from './answer_fixture.js';
import {END_OF_ANSWER, EventSequencer, type StreamEvent} from './index.js';

const repairs = suite('repairs of answers');

repairs('chunks that come late and twice are put in order', async () => {
  // A caller would read words swapped and doubled: the engine sends a chunk
  // after its successor and another one twice. Nothing is asked for again.
  const answer = makeAnswer(6);
  const [a, b, c, d, e, f, end] = answer;
  const events = [b, a, a, d, c, c, f, e, end] as StreamEvent[];
  const reading = await readFrom({events, end: 'open'}, failIfAsked);
  assert.equal(reading.events, answer);
  assert.equal(reading.repairs, []);
});

repairs(
  'a lost chunk is asked for again while the stream goes on',
  async () => {
    // A caller would wait for ever, or read a text with a word missing: one
    // chunk is lost and the connection stays open without a word.
    const answer = makeAnswer(6);
    const events = answer.filter(event => event.id !== 2).slice(0, 4);
    const reading = await readFrom({events, end: 'open'}, makeKeeper(answer));
    assert.equal(reading.events, answer);
    assert.equal(reading.repairs, ['gap']);
  },
);

repairs('a chunk of another request is dropped and had again', async () => {
  // A caller would read a stranger's words: the engine mixes up two requests
  // and puts a chunk of the other one in the place of the right chunk.
  const answer = makeAnswer(6);
  const events = answer.map(event =>
    event.id === 3 ? makeChunk(3, 'secret ', 'q2') : event,
  );
  const reading = await readFrom({events, end: 'open'}, makeKeeper(answer));
  assert.equal(reading.events, answer);
  assert.equal(reading.repairs, ['foreign-event']);
});

repairs(
  "the end of another request's answer does not cut this one",
  async () => {
    // A caller would take half an answer for the whole: the end of a shorter
    // answer comes on this connection, before the chunk whose place it names.
    const answer = makeAnswer(6);
    const falseEnd = {id: 3, data: END_OF_ANSWER};
    const events = [answer[0], falseEnd, ...answer.slice(1)] as StreamEvent[];
    const reading = await readFrom({events, end: 'closed'}, makeKeeper(answer));
    assert.equal(reading.events, answer);
  },
);

repairs('a connection that breaks is resumed where it broke', async () => {
  const answer = makeAnswer(6);
  const asked: number[] = [];
  const engine: Engine = fromId => {
    asked.push(fromId);
    return makeKeeper(answer)(fromId);
  };
  const first: Connection = {events: answer.slice(0, 3), end: 'reset'};
  const reading = await readFrom(first, engine);
  assert.equal(reading.events, answer);
  assert.equal(asked, [3]);
});

repairs('a stream that just ends is no whole answer', async () => {
  // A caller would take a cut answer for the whole one: the engine closes
  // the connection in good order, but without the end, time and again.
  const answer = makeAnswer(6);
  const events = answer.slice(0, 3);
  const reading = await readFrom({events, end: 'closed'}, () => ({
    events: [],
    end: 'closed',
  }));
  assert.equal(reading.events, events);
  assert.is(reading.error?.kind, 'stream-broken');
  assert.is(reading.error?.run, 'unknown');
});

repairs('an engine that forgot the request is asked once', async () => {
  let askedCount = 0;
  const reading = await readFrom({events: [], end: 'reset'}, () => {
    askedCount += 1;
    return new TypedError('not-found', 'It is not kept.');
  });
  assert.is(reading.error?.kind, 'stream-broken');
  assert.is(askedCount, 1);
});

repairs('nothing follows the end', () => {
  const sequencer = new EventSequencer({
    ...{requestId: 'q1', firstId: 0},
    ...{maxWaitingEvents: 8, maxWaitingChars: 1_000},
  });
  const answer = makeAnswer(2);
  const passed = [...answer, makeChunk(3)].flatMap(event =>
    sequencer.accept(event),
  );
  assert.equal(passed, answer);
  assert.equal(sequencer.accept(makeChunk(sequencer.nextId)), []);
});

repairs('an answer over its limit ends with its kind', async () => {
  const events = makeAnswer(50);
  const overrides = {maxAnswerBytes: 1_000};
  const reading = await readFrom({events, end: 'open'}, failIfAsked, overrides);
  assert.is(reading.error?.kind, 'answer-too-large');
  assert.ok(reading.events.length < 50);
});

repairs('an event without an end is not buffered for ever', async () => {
  // A node would run out of memory: an engine sends one line for ever.
  const overrides = {maxEventChars: 1_000};
  const endless: Connection = {events: [], end: 'endless'};
  const large: Connection = {
    events: [makeChunk(0, 'x'.repeat(5_000))],
    end: 'open',
  };
  for (const first of [endless, large]) {
    const reading = await readFrom(first, failIfAsked, overrides);
    assert.is(reading.error?.kind, 'answer-too-large');
  }
});

repairs('a deadline ends the reading of a silent engine', async () => {
  const events = makeAnswer(5).slice(0, 2);
  const aborting = new AbortController();
  const reading = readFrom(
    {events, end: 'open'},
    failIfAsked,
    {},
    aborting.signal,
  );
  setImmediate(() => aborting.abort());
  assert.is((await reading).error?.kind, 'deadline-exceeded');
});

repairs.run();

const properties = suite('any disorder of events');

/** What becomes of one event on its way. */
type Fate =
  | 'sent'
  | 'lost'
  | 'doubled'
  | 'crossed'
  | 'unreadable'
  | 'delayed'
  | 'false-end';

const FATES: Fate[] = [
  ...['sent', 'sent', 'sent', 'lost', 'doubled'],
  ...['crossed', 'unreadable', 'delayed', 'false-end'],
] as Fate[];

const connectionArbitrary = fc.record({
  fates: fc.array(fc.constantFrom(...FATES), {maxLength: 20}),
  delay: fc.integer({min: 1, max: 6}),
  endsAfter: fc.integer({min: 0, max: 40}),
  end: fc.constantFrom<Connection['end']>('closed', 'reset', 'lingering'),
});

type Disorder =
  typeof connectionArbitrary extends fc.Arbitrary<infer T> ? T : never;

function applyDisorder(
  answer: readonly StreamEvent[],
  fromId: number,
  disorder: Disorder,
): Connection {
  const {fates, delay, endsAfter, end} = disorder;
  const placed = answer
    .filter(event => event.id >= fromId)
    .flatMap((event, index) => sendWithFate(event, index, fates[index], delay));
  const events = placed
    .sort((first, second) => first.place - second.place)
    .map(({event}) => event)
    .slice(0, endsAfter);
  return {events, end};
}

function sendWithFate(
  event: StreamEvent,
  index: number,
  fate: Fate | undefined,
  delay: number,
) {
  const sent = {event, place: index};
  switch (fate) {
    case 'lost':
      return [];
    case 'doubled':
      return [sent, {event, place: index + delay + 0.5}];
    case 'crossed':
      return [{event: makeChunk(event.id, 'foreign ', 'q2'), place: index}];
    case 'unreadable':
      return [{event: {...event, data: '{"request_id":'}, place: index}];
    case 'false-end':
      return [{event: {id: event.id, data: END_OF_ANSWER}, place: index}];
    case 'delayed':
      return [{event, place: index + delay + 0.5}];
    default:
      return [sent];
  }
}

properties('give the exact answer, or its start and an honest error', () =>
  fc.assert(
    fc.asyncProperty(
      fc.integer({min: 0, max: 30}),
      fc.array(connectionArbitrary, {minLength: 1, maxLength: 8}),
      async (chunkCount, disorders) => {
        const answer = makeAnswer(chunkCount);
        let connections = 0;
        const open = (fromId: number) => {
          const index = connections++;
          const disorder = disorders[index % disorders.length] as Disorder;
          // Two connections that give the same false end are not told apart.
          const fates =
            index === 0
              ? disorder.fates
              : disorder.fates.filter(fate => fate !== 'false-end');
          return applyDisorder(answer, fromId, {...disorder, fates});
        };
        const reading = await readFrom(open(0), open, {maxWaitingEvents: 8});
        checkHonest(reading.events, answer, reading.error);
      },
    ),
    {seed: 20_260_101, numRuns: 1_000},
  ),
);

function checkHonest(
  events: readonly StreamEvent[],
  answer: readonly StreamEvent[],
  error: TypedError | null,
): void {
  assert.equal(events, answer.slice(0, events.length));
  if (error) assert.is(error.kind, 'stream-broken');
  else assert.is(events.length, answer.length);
}

properties.run();

function failIfAsked(): never {
  throw new TypedError('internal', 'Nothing had to be asked for again.');
}
