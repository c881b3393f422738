/** Splits a byte stream at event boundaries. */

/** Two line feeds end an event. */
const LINE_FEED = 10;
const ID_LINE = /(?:^|\n)id: ?(\d{1,15})\r?\n/g;

/**
 * Passes on complete events only, so that a stream that breaks inside an event
 * can resume with that event at another server.
 */
export class EventBoundary {
  private partial: Uint8Array = new Uint8Array(0);

  constructor(private lastId: number | null) {}

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

  /** Returns the events that the chunk completes. */
  push(chunk: Uint8Array): Uint8Array {
    const bytes =
      this.partial.length > 0 ? Buffer.concat([this.partial, chunk]) : chunk;
    const end = findLastEventEnd(bytes);
    this.partial = bytes.subarray(end);
    const completeEvents = bytes.subarray(0, end);
    this.updateLastId(completeEvents);
    return completeEvents;
  }

  private updateLastId(completeEvents: Uint8Array): void {
    if (completeEvents.length === 0) return;
    const text = Buffer.from(
      completeEvents.buffer,
      completeEvents.byteOffset,
      completeEvents.byteLength,
    ).toString('latin1');
    const ids = [...text.matchAll(ID_LINE)];
    const last = ids[ids.length - 1]?.[1];
    if (last !== undefined) this.lastId = Number(last);
  }
}

/** The index after the last pair of line feeds; 0 if there is none. */
function findLastEventEnd(bytes: Uint8Array): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] === LINE_FEED && bytes[at - 1] === LINE_FEED) return at + 1;
  }
  return 0;
}
