/**
 * Goes on with an answer on another replica: the request is run again from
 * the start, and what the caller has already is compared and left out.
 */
import {createHash} from 'node:crypto';
import {TypedError} from '@mimosatack/errors';
import {z} from 'zod';
import {type StreamEvent, isEndOfAnswer} from './stream_event.js';

const chunkSchema = z.looseObject({
  choices: z
    .array(
      z.looseObject({
        index: z.literal(0).default(0),
        finish_reason: z.string().nullish(),
        text: z.string().optional(),
        delta: z
          .looseObject({
            content: z.string().nullish(),
            tool_calls: z.undefined().optional(),
          })
          .optional(),
      }),
    )
    .max(1),
});

type Chunk = z.infer<typeof chunkSchema>;

/** The text that a caller has so far, as its length and its hash. */
export class DeliveredText {
  private hash = createHash('sha256');
  private lengthChars = 0;
  private lastId = -1;
  private isPlain = true;

  /** How many UTF-16 units the caller has. */
  get length(): number {
    return this.lengthChars;
  }

  /** The id that the next event for the caller gets. */
  get nextId(): number {
    return this.lastId + 1;
  }

  /** Whether all of it was plain text of one choice. */
  get canBeMatched(): boolean {
    return this.isPlain;
  }

  /** Notes events that were passed on to the caller. */
  note(events: readonly StreamEvent[]): void {
    events.forEach(event => {
      this.lastId = event.id;
      if (isEndOfAnswer(event)) return;
      const chunk = parseChunk(event);
      if (chunk) this.append(readText(chunk));
      else this.isPlain = false;
    });
  }

  append(text: string): void {
    // Two bytes a unit, so that a pair split between two chunks stays whole.
    this.hash.update(text, 'utf16le');
    this.lengthChars += text.length;
  }

  /** A hash of the text so far. */
  digest(): string {
    return this.hash.copy().digest('base64');
  }
}

/**
 * The rest of an answer from a second run of its request. `delivered` is what
 * the caller has; the events begin with the id after it.
 *
 * Guards against an answer made of two that do not belong together: the
 * replicas may sample differently, and the caller would read a text that no
 * run gave. Nothing is passed on before the whole of the delivered text was
 * found at the start of the second answer; otherwise `stream-broken`.
 */
export async function* continueElsewhere(
  delivered: DeliveredText,
  secondRun: AsyncIterable<StreamEvent[]>,
): AsyncGenerator<StreamEvent[], void> {
  if (!delivered.canBeMatched) throw diverged('it is not plain text');
  const replay = new Replay(delivered);
  for await (const events of secondRun) {
    const rest = events.flatMap(event => replay.take(event));
    if (rest.length > 0) yield rest;
  }
}

/** What was delivered is fixed at the start; the original may grow on. */
class Replay {
  private readonly replayed = new DeliveredText();
  private readonly deliveredChars: number;
  private readonly deliveredDigest: string;
  private nextId: number;
  private isMatched = false;

  constructor(delivered: DeliveredText) {
    this.deliveredChars = delivered.length;
    this.deliveredDigest = delivered.digest();
    this.nextId = delivered.nextId;
    if (this.deliveredChars === 0) this.match();
  }

  take(event: StreamEvent): StreamEvent[] {
    if (this.isMatched) return [{id: this.nextId++, data: event.data}];
    if (isEndOfAnswer(event)) throw diverged('the second answer is shorter');
    const chunk = parseChunk(event);
    if (!chunk) throw diverged('the second answer is not plain text');
    return this.takeOverlap(chunk);
  }

  private takeOverlap(chunk: Chunk): StreamEvent[] {
    const text = readText(chunk);
    const missingChars = this.deliveredChars - this.replayed.length;
    this.replayed.append(text.slice(0, missingChars));
    if (text.length < missingChars) return [];
    this.match();
    const rest = text.slice(missingChars);
    if (rest === '' && !isFinish(chunk)) return [];
    const data = JSON.stringify(withText(chunk, rest));
    return [{id: this.nextId++, data}];
  }

  private match(): void {
    if (this.replayed.digest() !== this.deliveredDigest) {
      throw diverged('the second answer begins otherwise');
    }
    this.isMatched = true;
  }
}

function parseChunk(event: StreamEvent): Chunk | null {
  try {
    return chunkSchema.safeParse(JSON.parse(event.data)).data ?? null;
  } catch {
    return null;
  }
}

function readText(chunk: Chunk): string {
  const [choice] = chunk.choices;
  return choice?.text ?? choice?.delta?.content ?? '';
}

function isFinish(chunk: Chunk): boolean {
  return chunk.choices.some(choice => typeof choice.finish_reason === 'string');
}

function withText(chunk: Chunk, text: string): Chunk {
  const choices = chunk.choices.map(choice =>
    choice.text === undefined
      ? {...choice, delta: {...choice.delta, content: text}}
      : {...choice, text},
  );
  return {...chunk, choices};
}

/** Two runs of a request gave different answers; no third one helps. */
export class DivergedError extends TypedError {}

function diverged(why: string): DivergedError {
  return new DivergedError(
    'stream-broken',
    `The answer cannot be continued on another backend server: ${why}.`,
    {run: 'unknown', remedy: 'Send the request again and drop this answer.'},
  );
}
