/** Splits a byte stream at event boundaries. */
import {ByteBuffer} from './byte_buffer.js';

/** Two line feeds end an event. */
const LINE_FEED = 10;
const NO_BYTES = new Uint8Array(0);
const ID_LINE = /(?:^|\n)id: ?(\d{1,15})\r?\n/g;

/**
 * Passes on complete events only, so that a stream that breaks inside an event
 * can resume with that event at another server, and none whose id goes back.
 */
export class EventBoundary {
  private readonly partial = new ByteBuffer();
  private hasGoneBack = false;
  /** The id that the next one has to exceed. */
  private previousId: number;

  /** @param isContinued whether the first event has to follow the last one. */
  constructor(
    private lastId: number | null,
    isContinued = true,
  ) {
    this.previousId = isContinued && lastId !== null ? lastId : -1;
  }

  /** Whether the ids have gone back; no event is passed on from then. */
  get isOutOfOrder(): boolean {
    return this.hasGoneBack;
  }

  /** The id of the last event that was passed on. */
  get lastEventId(): number | null {
    return this.lastId;
  }

  get hasPartialEvent(): boolean {
    return this.partialBytes > 0;
  }

  /** Bytes that wait for the end of their event. */
  get partialBytes(): number {
    return this.partial.length;
  }

  /** Returns the events that the chunk completes, or none once the ids have gone back. */
  push(chunk: Uint8Array): Uint8Array {
    const end = findLastEventEnd(chunk, this.partial.last);
    if (end === 0) {
      this.partial.append(chunk);
      return NO_BYTES;
    }
    const completeEvents = this.complete(chunk.subarray(0, end));
    this.partial.append(chunk.subarray(end));
    const ids = readIds(completeEvents);
    this.hasGoneBack ||= !this.isFollowedBy(ids);
    if (this.hasGoneBack) return NO_BYTES;
    const last = ids.at(-1);
    if (last !== undefined) this.lastId = this.previousId = last;
    return completeEvents;
  }

  private complete(rest: Uint8Array): Uint8Array {
    if (this.partial.length === 0) return rest;
    this.partial.append(rest);
    return this.partial.take();
  }

  private isFollowedBy(ids: readonly number[]): boolean {
    return ids.every((id, at) => id > (ids[at - 1] ?? this.previousId));
  }
}

function readIds(events: Uint8Array): number[] {
  if (events.length === 0) return [];
  const {buffer, byteOffset, byteLength} = events;
  const text = Buffer.from(buffer, byteOffset, byteLength).toString('latin1');
  return [...text.matchAll(ID_LINE)].map(([, id]) => Number(id));
}

/**
 * The index after the last pair of line feeds; 0 if there is none. The first one of the pair
 * may be the byte before the chunk.
 */
function findLastEventEnd(
  chunk: Uint8Array,
  byteBefore: number | undefined,
): number {
  for (let at = chunk.length - 1; at >= 0; at -= 1) {
    const previous = at > 0 ? chunk[at - 1] : byteBefore;
    if (chunk[at] === LINE_FEED && previous === LINE_FEED) return at + 1;
  }
  return 0;
}
