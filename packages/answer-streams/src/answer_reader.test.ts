import {TypedError} from '@mimosatack/errors';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type Connection,
  type Engine,
  makeResponse,
  makeChunk,
  makeRetainingEngine,
  readFrom,
} from './answer_fixture.js';
import {END_OF_ANSWER, EventSequencer, type StreamEvent} from './index.js';

const reader = suite('response reader');

reader('reordered and duplicated chunks are put in order', async () => {
  // Guards against swapped or repeated text, and against a needless resume.
  const response = makeResponse(6);
  const [a, b, c, d, e, f, end] = response;
  const events = [b, a, a, d, c, c, f, e, end] as StreamEvent[];
  const reading = await readFrom({events, end: 'open'}, failOnResume);
  assert.equal(reading.events, response);
  assert.equal(reading.repairs, []);
});

reader(
  'a lost chunk causes a resume while the connection stays open',
  async () => {
    // Guards against a read that waits forever or a response with missing text.
    const response = makeResponse(6);
    const events = response.filter(event => event.id !== 2).slice(0, 4);
    const reading = await readFrom(
      {events, end: 'open'},
      makeRetainingEngine(response),
    );
    assert.equal(reading.events, response);
    assert.equal(reading.repairs, ['gap']);
  },
);

reader('a chunk of another request is replaced by a resume', async () => {
  // Guards against an engine that sends one caller the text of another.
  const response = makeResponse(6);
  const events = response.map(event =>
    event.id === 3 ? makeChunk(3, 'secret ', 'q2') : event,
  );
  const reading = await readFrom(
    {events, end: 'open'},
    makeRetainingEngine(response),
  );
  assert.equal(reading.events, response);
  assert.equal(reading.repairs, ['foreign-event']);
});

reader(
  "the end of another request's response does not truncate this one",
  async () => {
    // Guards against a truncated response that looks complete.
    const response = makeResponse(6);
    const falseEnd = {id: 3, data: END_OF_ANSWER};
    const events = [
      response[0],
      falseEnd,
      ...response.slice(1),
    ] as StreamEvent[];
    const reading = await readFrom(
      {events, end: 'closed'},
      makeRetainingEngine(response),
    );
    assert.equal(reading.events, response);
  },
);

reader('a reset connection is resumed after the last event', async () => {
  const response = makeResponse(6);
  const resumedFrom: number[] = [];
  const engine: Engine = fromId => {
    resumedFrom.push(fromId);
    return makeRetainingEngine(response)(fromId);
  };
  const first: Connection = {events: response.slice(0, 3), end: 'reset'};
  const reading = await readFrom(first, engine);
  assert.equal(reading.events, response);
  assert.equal(resumedFrom, [3]);
});

reader('a stream that closes without an end event fails', async () => {
  // Guards against a truncated response that looks complete.
  const response = makeResponse(6);
  const events = response.slice(0, 3);
  const reading = await readFrom({events, end: 'closed'}, () => ({
    events: [],
    end: 'closed',
  }));
  assert.equal(reading.events, events);
  assert.is(reading.error?.kind, 'stream-broken');
  assert.is(reading.error?.run, 'unknown');
});

reader('a resume that gets not-found is not retried', async () => {
  let resumeCount = 0;
  const reading = await readFrom({events: [], end: 'reset'}, () => {
    resumeCount += 1;
    return new TypedError('not-found', 'The request is not retained.');
  });
  assert.is(reading.error?.kind, 'stream-broken');
  assert.is(resumeCount, 1);
});

reader('no event is released after the end', () => {
  const sequencer = new EventSequencer({
    ...{requestId: 'q1', firstId: 0},
    ...{maxWaitingEvents: 8, maxWaitingChars: 1_000},
  });
  const response = makeResponse(2);
  const passed = [...response, makeChunk(3)].flatMap(event =>
    sequencer.accept(event),
  );
  assert.equal(passed, response);
  assert.equal(sequencer.accept(makeChunk(sequencer.nextId)), []);
});

reader('a response above the size limit is rejected', async () => {
  const events = makeResponse(50);
  const overrides = {maxAnswerBytes: 1_000};
  const reading = await readFrom(
    {events, end: 'open'},
    failOnResume,
    overrides,
  );
  assert.is(reading.error?.kind, 'answer-too-large');
  assert.ok(reading.events.length < 50);
});

reader('an event above the size limit is rejected', async () => {
  // Guards against running out of memory on a line that never ends.
  const overrides = {maxEventChars: 1_000};
  const endless: Connection = {events: [], end: 'endless'};
  const large: Connection = {
    events: [makeChunk(0, 'x'.repeat(5_000))],
    end: 'open',
  };
  for (const first of [endless, large]) {
    const reading = await readFrom(first, failOnResume, overrides);
    assert.is(reading.error?.kind, 'answer-too-large');
  }
});

reader('a deadline stops reading from an unresponsive engine', async () => {
  const events = makeResponse(5).slice(0, 2);
  const deadline = new AbortController();
  const reading = readFrom(
    {events, end: 'open'},
    failOnResume,
    {},
    deadline.signal,
  );
  setImmediate(() => deadline.abort());
  assert.is((await reading).error?.kind, 'deadline-exceeded');
});

reader.run();

const properties = suite('response reader under random faults');

type EventFault =
  | 'sent'
  | 'lost'
  | 'duplicated'
  | 'foreign'
  | 'unreadable'
  | 'delayed'
  | 'false-end';

const EVENT_FAULTS: EventFault[] = [
  ...['sent', 'sent', 'sent', 'lost', 'duplicated'],
  ...['foreign', 'unreadable', 'delayed', 'false-end'],
] as EventFault[];

const connectionArbitrary = fc.record({
  faults: fc.array(fc.constantFrom(...EVENT_FAULTS), {maxLength: 20}),
  delay: fc.integer({min: 1, max: 6}),
  endsAfter: fc.integer({min: 0, max: 40}),
  end: fc.constantFrom<Connection['end']>('closed', 'reset', 'lingering'),
});

type ConnectionFaults =
  typeof connectionArbitrary extends fc.Arbitrary<infer T> ? T : never;

function injectFaults(
  response: readonly StreamEvent[],
  fromId: number,
  connectionFaults: ConnectionFaults,
): Connection {
  const {faults, delay, endsAfter, end} = connectionFaults;
  const positioned = response
    .filter(event => event.id >= fromId)
    .flatMap((event, index) =>
      sendWithFault(event, index, faults[index], delay),
    );
  const events = positioned
    .sort((first, second) => first.position - second.position)
    .map(({event}) => event)
    .slice(0, endsAfter);
  return {events, end};
}

function sendWithFault(
  event: StreamEvent,
  index: number,
  fault: EventFault | undefined,
  delay: number,
) {
  const sent = {event, position: index};
  switch (fault) {
    case 'lost':
      return [];
    case 'duplicated':
      return [sent, {event, position: index + delay + 0.5}];
    case 'foreign':
      return [{event: makeChunk(event.id, 'foreign ', 'q2'), position: index}];
    case 'unreadable':
      return [{event: {...event, data: '{"request_id":'}, position: index}];
    case 'false-end':
      return [{event: {id: event.id, data: END_OF_ANSWER}, position: index}];
    case 'delayed':
      return [{event, position: index + delay + 0.5}];
    default:
      return [sent];
  }
}

properties('give the exact response, or a prefix and an error', () =>
  fc.assert(
    fc.asyncProperty(
      fc.integer({min: 0, max: 30}),
      fc.array(connectionArbitrary, {minLength: 1, maxLength: 8}),
      async (chunkCount, faultsByConnection) => {
        const response = makeResponse(chunkCount);
        let connections = 0;
        const open = (fromId: number) => {
          const index = connections++;
          const connectionFaults = faultsByConnection[
            index % faultsByConnection.length
          ] as ConnectionFaults;
          // A false end that two connections repeat cannot be detected.
          const faults =
            index === 0
              ? connectionFaults.faults
              : connectionFaults.faults.filter(fault => fault !== 'false-end');
          return injectFaults(response, fromId, {...connectionFaults, faults});
        };
        const reading = await readFrom(open(0), open, {maxWaitingEvents: 8});
        checkReading(reading.events, response, reading.error);
      },
    ),
    {seed: 20_260_101, numRuns: 1_000},
  ),
);

function checkReading(
  events: readonly StreamEvent[],
  response: readonly StreamEvent[],
  error: TypedError | null,
): void {
  assert.equal(events, response.slice(0, events.length));
  if (error) assert.is(error.kind, 'stream-broken');
  else assert.is(events.length, response.length);
}

properties.run();

function failOnResume(): never {
  throw new TypedError('internal', 'unexpected resume');
}
