/** Puts the events of one answer in order and lets no wrong one through. */
import {type StreamEvent, isEndOfAnswer} from './stream_event.js';

/** What a sequencer is built from. */
export interface SequencerOptions {
  /** The request whose answer is read. */
  requestId: string;
  /** The id of the first event that is wanted. */
  firstId: number;
  /** How many events may wait for an earlier one. */
  maxWaitingEvents: number;
  /** How many characters may wait for an earlier event. */
  maxWaitingChars: number;
}

/**
 * Events come in any order, twice, or not at all; they leave in order, once
 * each, without a gap. An event that names another request, or that cannot be
 * read, is dropped, so that its place stays a gap.
 */
export class EventSequencer {
  private readonly waiting = new Map<number, StreamEvent>();
  private waitingChars = 0;
  private nextEventId: number;
  private waitingEnd: StreamEvent | null = null;
  private hasEnded = false;
  private hasFinish = false;
  /** The id of an end that came too early to be believed at once. */
  private doubtedEndId: number | null = null;
  private foreignCount = 0;

  constructor(private readonly options: SequencerOptions) {
    this.nextEventId = options.firstId;
  }

  /** The id of the event that leaves next. */
  get nextId(): number {
    return this.nextEventId;
  }

  /** Whether the last event has left. */
  get isWhole(): boolean {
    return this.hasEnded;
  }

  /** Whether events wait for an earlier one. */
  get hasGap(): boolean {
    return this.waiting.size > 0 || this.waitingEnd !== null;
  }

  /** Whether this connection can bring nothing more that is of use. */
  get needsResume(): boolean {
    return this.isFull || this.waitingEnd?.id === this.nextEventId;
  }

  /** How many events were dropped because they were not this answer's. */
  get droppedForeign(): number {
    return this.foreignCount;
  }

  /** Takes one event and returns those that can leave with it. */
  accept(event: StreamEvent): StreamEvent[] {
    if (this.isWhole) return [];
    return isEndOfAnswer(event)
      ? this.acceptEnd(event)
      : this.acceptChunk(event);
  }

  /** Forgets what waits; a resumed stream brings it again. */
  forgetWaiting(): void {
    this.doubtedEndId = this.waitingEnd?.id ?? this.doubtedEndId;
    this.waiting.clear();
    this.waitingChars = 0;
    this.waitingEnd = null;
  }

  private acceptChunk(event: StreamEvent): StreamEvent[] {
    if (event.id < this.nextEventId || this.waiting.has(event.id)) return [];
    const chunk = readChunk(event.data);
    if (!this.isOwn(chunk)) {
      this.foreignCount += 1;
      return [];
    }
    this.dropFalseEnd(event.id);
    if (event.id > this.nextEventId) {
      if (!this.isFull) this.keep(event);
      return [];
    }
    this.hasFinish ||= isFinish(chunk);
    return this.release(event);
  }

  private acceptEnd(end: StreamEvent): StreamEvent[] {
    if (this.isRepeatedEnd(end)) return this.finish(end);
    if (end.id < (this.waitingEnd?.id ?? this.nextEventId)) return [];
    if ([...this.waiting.keys()].some(id => id >= end.id)) {
      this.foreignCount += 1;
      return [];
    }
    this.waitingEnd = end;
    return this.takeEnd();
  }

  /** The end that waits, once all before it has left and it is believed. */
  private takeEnd(): StreamEvent[] {
    const end = this.waitingEnd;
    if (end?.id !== this.nextEventId) return [];
    return this.isBelievable(end) ? this.finish(end) : [];
  }

  /**
   * Guards against the end of a stranger's answer, which names no request and
   * would cut this answer short without a word. It is believed once a chunk
   * has said that the answer is finished, or when a second connection gives
   * the same end; until then it counts as a gap.
   */
  private isBelievable(end: StreamEvent): boolean {
    return this.hasFinish || this.doubtedEndId === end.id;
  }

  private get isFull(): boolean {
    const {maxWaitingEvents, maxWaitingChars} = this.options;
    return (
      this.waiting.size >= maxWaitingEvents ||
      this.waitingChars > maxWaitingChars
    );
  }

  private keep(event: StreamEvent): void {
    this.waiting.set(event.id, event);
    this.waitingChars += event.data.length;
  }

  private release(first: StreamEvent): StreamEvent[] {
    const ready: StreamEvent[] = [];
    let next: StreamEvent | undefined = first;
    while (next) {
      ready.push(next);
      this.nextEventId = next.id + 1;
      next = this.takeWaiting(this.nextEventId);
    }
    return [...ready, ...this.takeEnd()];
  }

  private takeWaiting(id: number): StreamEvent | undefined {
    const event = this.waiting.get(id);
    if (!event) return undefined;
    this.hasFinish ||= isFinish(readChunk(event.data));
    this.waiting.delete(id);
    this.waitingChars -= event.data.length;
    return event;
  }

  private finish(end: StreamEvent): StreamEvent[] {
    this.hasEnded = true;
    this.nextEventId = end.id + 1;
    this.forgetWaiting();
    return [end];
  }

  /**
   * A caller that names the end as its last event has the whole answer; it is
   * told so by the same end once more. Only before any other event: later an
   * end with an old id is a stray one.
   */
  private isRepeatedEnd(end: StreamEvent): boolean {
    return (
      end.id === this.options.firstId - 1 &&
      this.nextEventId === this.options.firstId &&
      !this.hasGap
    );
  }

  /**
   * Guards against crossed answers: an engine that mixes up two requests on
   * one connection sends words of a stranger's answer with a fitting id. Each
   * chunk names its request, so a chunk of another one is told apart.
   */
  private isOwn(chunk: Chunk | null): boolean {
    return chunk?.request_id === this.options.requestId;
  }

  /** A chunk at the place of an end, or after it, shows that it is none. */
  private dropFalseEnd(chunkId: number): void {
    if (this.waitingEnd === null || chunkId < this.waitingEnd.id) return;
    this.waitingEnd = null;
    this.foreignCount += 1;
  }
}

/** The fields of a chunk that tell whose it is and whether it is the last. */
interface Chunk {
  request_id?: unknown;
  choices?: unknown;
}

function readChunk(data: string): Chunk | null {
  try {
    return JSON.parse(data) as Chunk | null;
  } catch {
    return null;
  }
}

function isFinish(chunk: Chunk | null): boolean {
  const choices: unknown = chunk?.choices;
  return (
    Array.isArray(choices) &&
    choices.some(
      (choice: {finish_reason?: unknown} | null) =>
        typeof choice?.finish_reason === 'string',
    )
  );
}
