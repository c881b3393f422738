/** Orders the events of one response and drops events of other requests. */
import {type StreamEvent, isEndEvent} from './stream_event.js';

export interface SequencerOptions {
  /** The id by which the engine knows the request. */
  requestId: string;
  /** The id of the first event to release. */
  firstId: number;
  /** Maximum number of buffered out-of-order events. */
  maxWaitingEvents: number;
  /** Maximum size of the buffered out-of-order events, in characters. */
  maxWaitingChars: number;
}

/**
 * Accepts events in any order, with duplicates and losses, and releases each
 * once, in order and without gaps. An event that names another request or
 * cannot be parsed is dropped and leaves a gap.
 */
export class EventSequencer {
  private readonly buffered = new Map<number, StreamEvent>();
  private bufferedChars = 0;
  private nextEventId: number;
  private pendingEnd: StreamEvent | null = null;
  private hasEnded = false;
  private sawFinishReason = false;
  /** The id of an end that an earlier connection sent unconfirmed. */
  private unconfirmedEndId: number | null = null;
  private foreignCount = 0;

  constructor(private readonly options: SequencerOptions) {
    this.nextEventId = options.firstId;
  }

  /** The id of the next event to release. */
  get nextId(): number {
    return this.nextEventId;
  }

  /** Whether the end event has been released. */
  get isComplete(): boolean {
    return this.hasEnded;
  }

  /** Whether an event is buffered because an earlier one is missing. */
  get hasGap(): boolean {
    return this.buffered.size > 0 || this.pendingEnd !== null;
  }

  /** Whether the current connection cannot complete the response. */
  get needsResume(): boolean {
    return this.isBufferFull || this.pendingEnd?.id === this.nextEventId;
  }

  /** Number of dropped events that did not belong to this response. */
  get foreignEventCount(): number {
    return this.foreignCount;
  }

  /** Accepts one event and returns the events that it releases. */
  accept(event: StreamEvent): StreamEvent[] {
    if (this.isComplete) return [];
    return isEndEvent(event) ? this.acceptEnd(event) : this.acceptChunk(event);
  }

  /** Discards buffered events; a resumed stream sends them again. */
  discardBuffered(): void {
    this.unconfirmedEndId = this.pendingEnd?.id ?? this.unconfirmedEndId;
    this.buffered.clear();
    this.bufferedChars = 0;
    this.pendingEnd = null;
  }

  private acceptChunk(event: StreamEvent): StreamEvent[] {
    if (event.id < this.nextEventId || this.buffered.has(event.id)) return [];
    const chunk = parseChunk(event.data);
    if (!this.belongsToRequest(chunk)) {
      this.foreignCount += 1;
      return [];
    }
    this.discardFalseEnd(event.id);
    if (event.id > this.nextEventId) {
      if (!this.isBufferFull) this.buffer(event);
      return [];
    }
    this.sawFinishReason ||= hasFinishReason(chunk);
    return this.releaseFrom(event);
  }

  private acceptEnd(end: StreamEvent): StreamEvent[] {
    if (this.isRepeatedEnd(end)) return this.complete(end);
    if (end.id < (this.pendingEnd?.id ?? this.nextEventId)) return [];
    if ([...this.buffered.keys()].some(id => id >= end.id)) {
      this.foreignCount += 1;
      return [];
    }
    this.pendingEnd = end;
    return this.releaseEnd();
  }

  /** Releases the pending end once it is next in order and confirmed. */
  private releaseEnd(): StreamEvent[] {
    const end = this.pendingEnd;
    if (end?.id !== this.nextEventId) return [];
    return this.isConfirmed(end) ? this.complete(end) : [];
  }

  /**
   * Guards against the end of another response, which names no request and
   * would truncate this one. An end is confirmed by a chunk with a finish
   * reason or by a second connection that sends the same end.
   */
  private isConfirmed(end: StreamEvent): boolean {
    return this.sawFinishReason || this.unconfirmedEndId === end.id;
  }

  private get isBufferFull(): boolean {
    const {maxWaitingEvents, maxWaitingChars} = this.options;
    return (
      this.buffered.size >= maxWaitingEvents ||
      this.bufferedChars > maxWaitingChars
    );
  }

  private buffer(event: StreamEvent): void {
    this.buffered.set(event.id, event);
    this.bufferedChars += event.data.length;
  }

  private releaseFrom(first: StreamEvent): StreamEvent[] {
    const ready: StreamEvent[] = [];
    let next: StreamEvent | undefined = first;
    while (next) {
      ready.push(next);
      this.nextEventId = next.id + 1;
      next = this.takeBuffered(this.nextEventId);
    }
    return [...ready, ...this.releaseEnd()];
  }

  private takeBuffered(id: number): StreamEvent | undefined {
    const event = this.buffered.get(id);
    if (!event) return undefined;
    this.sawFinishReason ||= hasFinishReason(parseChunk(event.data));
    this.buffered.delete(id);
    this.bufferedChars -= event.data.length;
    return event;
  }

  private complete(end: StreamEvent): StreamEvent[] {
    this.hasEnded = true;
    this.nextEventId = end.id + 1;
    this.discardBuffered();
    return [end];
  }

  /**
   * Whether a caller that resumes after the end event gets that end again. An
   * end with an old id that arrives after other events is ignored.
   */
  private isRepeatedEnd(end: StreamEvent): boolean {
    return (
      end.id === this.options.firstId - 1 &&
      this.nextEventId === this.options.firstId &&
      !this.hasGap
    );
  }

  /**
   * Guards against an engine that sends a chunk of another request's response
   * with a matching event id.
   */
  private belongsToRequest(chunk: Chunk | null): boolean {
    return chunk?.request_id === this.options.requestId;
  }

  /** Discards a pending end if a chunk has the same or a higher id. */
  private discardFalseEnd(chunkId: number): void {
    if (this.pendingEnd === null || chunkId < this.pendingEnd.id) return;
    this.pendingEnd = null;
    this.foreignCount += 1;
  }
}

/** The fields that identify a chunk's request and the last chunk. */
interface Chunk {
  request_id?: unknown;
  choices?: unknown;
}

function parseChunk(data: string): Chunk | null {
  try {
    return JSON.parse(data) as Chunk | null;
  } catch {
    return null;
  }
}

function hasFinishReason(chunk: Chunk | null): boolean {
  const choices: unknown = chunk?.choices;
  return (
    Array.isArray(choices) &&
    choices.some(
      (choice: {finish_reason?: unknown} | null) =>
        typeof choice?.finish_reason === 'string',
    )
  );
}
