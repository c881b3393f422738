/** Fake engines, connections and clocks for tests. */
import {setImmediate} from 'node:timers/promises';
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {SeededRandom} from '@mimosatack/random';
import {
  DEFAULT_ANSWER_LIMITS,
  END_OF_ANSWER,
  type AnswerLimits,
  type OpenStream,
  type ResumeCause,
  type StreamEvent,
  formatEvent,
  readAnswer,
} from './index.js';

export const REQUEST_ID = 'q1';

/** The events that one connection delivers, and how it ends. */
export interface Connection {
  events: readonly StreamEvent[];
  /**
   * `open` sends nothing until the reader closes it, `lingering` closes after a
   * short delay, and `endless` sends a line without an end.
   */
  end: 'closed' | 'reset' | 'open' | 'lingering' | 'endless';
}

/** Returns the connection or error for a resume from `fromId`. */
export type Engine = (fromId: number) => Connection | TypedError;

export interface Reading {
  events: StreamEvent[];
  error: TypedError | null;
  repairs: ResumeCause[];
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

/** The events of a complete response: `count` chunks and the end. */
export function makeResponse(count: number): StreamEvent[] {
  const chunks = Array.from({length: count}, (_unused, id) =>
    makeChunk(id, `w${id} `, REQUEST_ID, id === count - 1 ? 'stop' : null),
  );
  return [...chunks, {id: count, data: END_OF_ANSWER}];
}

/** An engine that retains a response and can resume it at any event. */
export function makeRetainingEngine(response: readonly StreamEvent[]): Engine {
  return fromId => ({
    events: response.filter(event => event.id >= fromId),
    end: 'closed',
  });
}

/** A clock whose timers fire in the next turn of the event loop. */
export function createImmediateClock(): Clock {
  return {
    wallMs: () => 0,
    monotonicMs: () => 0,
    setTimer: (_delayMs, callback): Timer => {
      const cancellation = new AbortController();
      void setImmediate().then(() => {
        if (!cancellation.signal.aborted) callback();
      });
      return {cancel: () => cancellation.abort()};
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
  const response = readAnswer({
    requestId: REQUEST_ID,
    firstId: 0,
    first: openConnection(first),
    resume: async fromId => {
      const resumed = engine(fromId);
      if (resumed instanceof TypedError) throw resumed;
      return openConnection(resumed);
    },
    clock: createImmediateClock(),
    random: new SeededRandom(1),
    limits: {...DEFAULT_ANSWER_LIMITS, ...overrides},
    signal,
    onResume: cause => reading.repairs.push(cause),
  });
  try {
    for await (const events of response) reading.events.push(...events);
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
