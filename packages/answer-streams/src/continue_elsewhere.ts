/**
 * Continues a response on another replica: the request runs again from the
 * start, and the text that the caller already has is verified and skipped.
 */
import {createHash} from 'node:crypto';
import {TypedError} from '@mimosatack/errors';
import {z} from 'zod';
import {type StreamEvent, isEndEvent} from './stream_event.js';

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

/** Length and hash of the text that was delivered to the caller. */
export class DeliveredText {
  private hash = createHash('sha256');
  private lengthChars = 0;
  private lastId = -1;
  private isPlainText = true;

  /** Length of the delivered text in UTF-16 code units. */
  get length(): number {
    return this.lengthChars;
  }

  /** The id of the next event for the caller. */
  get nextId(): number {
    return this.lastId + 1;
  }

  /** Whether all delivered events were plain text of a single choice. */
  get canVerifyPrefix(): boolean {
    return this.isPlainText;
  }

  /** Adds events that were delivered to the caller. */
  addEvents(events: readonly StreamEvent[]): void {
    events.forEach(event => {
      this.lastId = event.id;
      if (isEndEvent(event)) return;
      const chunk = parseChunk(event);
      if (chunk) this.append(readText(chunk));
      else this.isPlainText = false;
    });
  }

  append(text: string): void {
    // UTF-16 keeps a surrogate pair intact if it is split between two chunks.
    this.hash.update(text, 'utf16le');
    this.lengthChars += text.length;
  }

  digest(): string {
    return this.hash.copy().digest('base64');
  }
}

/**
 * Yields the rest of a response from a second run of its request. Event ids
 * continue after the events in `delivered`.
 *
 * Guards against mixing two different samples in one response: events are
 * yielded only after the second response has been found to begin with the
 * whole delivered text. Otherwise throws `stream-broken`.
 */
export async function* continueOnAnotherReplica(
  delivered: DeliveredText,
  secondRun: AsyncIterable<StreamEvent[]>,
): AsyncGenerator<StreamEvent[], void> {
  if (!delivered.canVerifyPrefix) throw diverged('it is not plain text');
  const verifier = new PrefixVerifier(delivered);
  for await (const events of secondRun) {
    const rest = events.flatMap(event => verifier.accept(event));
    if (rest.length > 0) yield rest;
  }
}

/** Compares with a snapshot, because `delivered` grows during the second run. */
class PrefixVerifier {
  private readonly repeated = new DeliveredText();
  private readonly deliveredChars: number;
  private readonly deliveredDigest: string;
  private nextId: number;
  private isVerified = false;

  constructor(delivered: DeliveredText) {
    this.deliveredChars = delivered.length;
    this.deliveredDigest = delivered.digest();
    this.nextId = delivered.nextId;
    if (this.deliveredChars === 0) this.verify();
  }

  accept(event: StreamEvent): StreamEvent[] {
    if (this.isVerified) return [{id: this.nextId++, data: event.data}];
    if (isEndEvent(event)) throw diverged('the second answer is shorter');
    const chunk = parseChunk(event);
    if (!chunk) throw diverged('the second answer is not plain text');
    return this.skipPrefix(chunk);
  }

  private skipPrefix(chunk: Chunk): StreamEvent[] {
    const text = readText(chunk);
    const remainingChars = this.deliveredChars - this.repeated.length;
    this.repeated.append(text.slice(0, remainingChars));
    if (text.length < remainingChars) return [];
    this.verify();
    const rest = text.slice(remainingChars);
    if (rest === '' && !hasFinishReason(chunk)) return [];
    const data = JSON.stringify(withText(chunk, rest));
    return [{id: this.nextId++, data}];
  }

  private verify(): void {
    if (this.repeated.digest() !== this.deliveredDigest) {
      throw diverged('the second answer begins otherwise');
    }
    this.isVerified = true;
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

function hasFinishReason(chunk: Chunk): boolean {
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

/** A second run gave a different response, so another run is pointless. */
export class DivergedError extends TypedError {}

function diverged(reason: string): DivergedError {
  return new DivergedError(
    'stream-broken',
    `The answer cannot be continued on another backend server: ${reason}.`,
    {
      run: 'unknown',
      remedy: 'Send the request again and drop this answer.',
    },
  );
}
