/** Answers, engines and clocks for the tests of this package. */
import {setImmediate} from 'node:timers/promises';
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {SeededRandom} from '@mimosatack/random';
import {
  DEFAULT_ANSWER_LIMITS,
  END_OF_ANSWER,
  type AnswerLimits,
  type OpenStream,
  type RepairCause,
  type StreamEvent,
  formatEvent,
  readAnswer,
} from './index.js';

export const REQUEST_ID = 'q1';

/** What one connection to the engine brings, and how it ends. */
export interface Connection {
  events: readonly StreamEvent[];
  /**
   * `open` stays silent until it is closed, `lingering` for a while, and
   * `endless` never ends a line.
   */
  end: 'closed' | 'reset' | 'open' | 'lingering' | 'endless';
}

/** The engine's side: what a resume from an event on gives. */
export type Engine = (fromId: number) => Connection | TypedError;

/** What came of reading an answer. */
export interface Reading {
  events: StreamEvent[];
  error: TypedError | null;
  repairs: RepairCause[];
}

export function makeChunk(
  id: number,
  text = `w${id} `,
  owner = REQUEST_ID,
  finishReason: string | null = null,
): StreamEvent {
  const choices = [
    {index: 0, delta: {content: text}, finish_reason: finishReason},
  ];
  return {id, data: JSON.stringify({request_id: owner, choices})};
}

/** The right events of an answer with `count` chunks, its end included. */
export function makeAnswer(count: number): StreamEvent[] {
  const chunks = Array.from({length: count}, (_unused, id) =>
    makeChunk(id, `w${id} `, REQUEST_ID, id === count - 1 ? 'stop' : null),
  );
  return [...chunks, {id: count, data: END_OF_ANSWER}];
}

/** An engine that keeps an answer and gives all of it. */
export function makeKeeper(answer: readonly StreamEvent[]): Engine {
  return fromId => ({
    events: answer.filter(event => event.id >= fromId),
    end: 'closed',
  });
}

/** Timers fire as soon as all else has run. */
export function createHastyClock(): Clock {
  return {
    wallMs: () => 0,
    monotonicMs: () => 0,
    setTimer: (_delayMs, callback): Timer => {
      const cancelling = new AbortController();
      void setImmediate().then(() => {
        if (!cancelling.signal.aborted) callback();
      });
      return {cancel: () => cancelling.abort()};
    },
  };
}

export function openConnection(connection: Connection): OpenStream {
  const closing = new AbortController();
  return {
    bytes: sendBytes(connection, closing.signal),
    close: () => closing.abort(),
  };
}

export async function readFrom(
  first: Connection,
  engine: Engine,
  overrides: Partial<AnswerLimits> = {},
  signal: AbortSignal = new AbortController().signal,
): Promise<Reading> {
  const reading: Reading = {events: [], error: null, repairs: []};
  const answer = readAnswer({
    requestId: REQUEST_ID,
    firstId: 0,
    first: openConnection(first),
    resume: async fromId => {
      const given = engine(fromId);
      if (given instanceof TypedError) throw given;
      return openConnection(given);
    },
    clock: createHastyClock(),
    random: new SeededRandom(1),
    limits: {...DEFAULT_ANSWER_LIMITS, ...overrides},
    signal,
    onRepair: cause => reading.repairs.push(cause),
  });
  try {
    for await (const events of answer) reading.events.push(...events);
  } catch (thrown) {
    reading.error = toTypedError(thrown);
  }
  return reading;
}

async function* sendBytes(
  {events, end}: Connection,
  closing: AbortSignal,
): AsyncGenerator<Uint8Array> {
  for (const event of events) {
    if (closing.aborted) throw new Error('closed');
    yield Buffer.from(formatEvent(event));
  }
  if (end === 'reset') throw new Error('connection reset');
  if (end === 'lingering') await setImmediate().then(() => setImmediate());
  if (end === 'open') await untilAborted(closing);
  while (end === 'endless' && !closing.aborted) yield Buffer.from('data: x');
}

export function untilAborted(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) =>
    signal.addEventListener('abort', () => reject(new Error('closed'))),
  );
}
