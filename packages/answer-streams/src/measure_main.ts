/**
 * Measures relaying without sockets: CPU time per event from the engine's bytes
 * to the caller's, and memory per open stream.
 */
import {cpuUsage, memoryUsage} from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {SystemClock} from '@mimosatack/clock';
import {SeededRandom} from '@mimosatack/random';
import {
  DEFAULT_ANSWER_LIMITS,
  DeliveredText,
  END_OF_ANSWER,
  type OpenStream,
  type StreamEvent,
  formatEvent,
  readAnswer,
} from './index.js';

const EVENT_COUNT = 100_000;
const ROUNDS = 5;
const STREAM_COUNT = 5_000;
const EVENTS_PER_OPEN_STREAM = 20;
const BYTES_PER_KB = 1024;
const REQUEST_ID = '0f8fad5b-d9cb-469f-a165-70867728950e';

type Arrival = 'in order' | 'every tenth delayed' | 'in order, with text hash';

const ARRIVALS: Arrival[] = [
  'in order',
  'every tenth delayed',
  'in order, with text hash',
];

function makeEvents(): StreamEvent[] {
  const chunks = Array.from({length: EVENT_COUNT}, (_unused, id) => ({
    id,
    data: JSON.stringify({
      id: `cmpl-${REQUEST_ID}`,
      object: 'chat.completion.chunk',
      created: 0,
      model: 'list-writer',
      request_id: REQUEST_ID,
      choices: [
        {
          index: 0,
          finish_reason: id === EVENT_COUNT - 1 ? 'stop' : null,
          delta: {role: 'assistant', content: `word${id} `},
        },
      ],
    }),
  }));
  return [...chunks, {id: EVENT_COUNT, data: END_OF_ANSWER}];
}

function delayEveryTenth(events: StreamEvent[]): StreamEvent[] {
  return events
    .map((event, index) => ({
      event,
      position: index % 10 ? index : index + 1.5,
    }))
    .sort((first, second) => first.position - second.position)
    .map(({event}) => event);
}

async function* send(parts: readonly Buffer[]): AsyncGenerator<Uint8Array> {
  yield* parts;
}

function openReader(stream: OpenStream, signal: AbortSignal) {
  return readAnswer({
    ...{requestId: REQUEST_ID, firstId: 0, first: stream, signal},
    resume: () => Promise.reject(new Error('unexpected resume')),
    ...{clock: new SystemClock(), random: new SeededRandom(1)},
    limits: {...DEFAULT_ANSWER_LIMITS, maxAnswerBytes: 2 ** 30},
  });
}

async function measureRound(
  parts: readonly Buffer[],
  arrival: Arrival,
): Promise<number> {
  const delivered =
    arrival === 'in order, with text hash' ? new DeliveredText() : null;
  const stream = {bytes: send(parts), close: () => undefined};
  const before = cpuUsage();
  let sizeBytes = 0;
  for await (const events of openReader(stream, new AbortController().signal)) {
    delivered?.addEvents(events);
    sizeBytes += Buffer.byteLength(events.map(formatEvent).join(''));
  }
  if (sizeBytes === 0) throw new Error('no event was relayed');
  const {user, system} = cpuUsage(before);
  return (user + system) / EVENT_COUNT;
}

async function measureEvents(arrival: Arrival): Promise<string> {
  const events = makeEvents();
  const sent =
    arrival === 'every tenth delayed' ? delayEveryTenth(events) : events;
  const parts = sent.map(event => Buffer.from(formatEvent(event)));
  const rounds: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    rounds.push(await measureRound(parts, arrival));
  }
  const sorted = rounds.toSorted((a, b) => a - b);
  const [least, median, most] = [0, ROUNDS >> 1, ROUNDS - 1].map(index =>
    sorted[index]?.toFixed(2),
  );
  return `${median} µs per event (${least} to ${most}), ${arrival}`;
}

/** A stream that sends some events and then stays open. */
function openStalledStream(parts: readonly Buffer[]): OpenStream {
  const bytes = (async function* () {
    yield* parts;
    await new Promise<never>(() => undefined);
  })();
  return {bytes, close: () => undefined};
}

async function measureMemory(): Promise<string> {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const parts = makeEvents()
    .slice(0, EVENTS_PER_OPEN_STREAM)
    .map(event => Buffer.from(formatEvent(event)));
  const {signal} = new AbortController();
  collectGarbage();
  const before = memoryUsage();
  const readers = Array.from({length: STREAM_COUNT}, () =>
    openReader(openStalledStream(parts), signal),
  );
  for (const reader of readers) {
    for (let read = 0; read < EVENTS_PER_OPEN_STREAM; read += 1) {
      await reader.next();
    }
  }
  const pendingReads = readers.map(reader => reader.next());
  collectGarbage();
  const after = memoryUsage();
  const growthBytes =
    after.heapUsed - before.heapUsed + after.external - before.external;
  const perStreamKb = growthBytes / pendingReads.length / BYTES_PER_KB;
  return `${perStreamKb.toFixed(1)} KB per open stream (${STREAM_COUNT} open)`;
}

for (const arrival of ARRIVALS) {
  process.stdout.write(`${await measureEvents(arrival)}\n`);
}
process.stdout.write(`${await measureMemory()}\n`);
process.exit(0);
