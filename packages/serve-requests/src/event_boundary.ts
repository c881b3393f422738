/** Splits a stream of bytes after whole events. */

/** Two line feeds end an event. */
const LINE_FEED = 10;
const ID_LINE = /(?:^|\n)id: ?(\d{1,15})\r?\n/g;

/**
 * Lets only whole events through, so that a stream which breaks in the middle
 * of one can go on with that event elsewhere.
 */
export class EventBoundary {
  private partial: Uint8Array = new Uint8Array(0);

  constructor(private lastId: number | null) {}

  /** The id of the last event that was let through. */
  get lastEventId(): number | null {
    return this.lastId;
  }

  /** Whether the bytes so far end in the middle of an event. */
  get hasPartialEvent(): boolean {
    return this.partial.length > 0;
  }

  /** The whole events up to here that were not let through yet. */
  push(piece: Uint8Array): Uint8Array {
    const bytes =
      this.partial.length > 0 ? Buffer.concat([this.partial, piece]) : piece;
    const end = findEnd(bytes);
    this.partial = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    this.noteIds(whole);
    return whole;
  }

  private noteIds(whole: Uint8Array): void {
    if (whole.length === 0) return;
    const text = Buffer.from(
      whole.buffer,
      whole.byteOffset,
      whole.byteLength,
    ).toString('latin1');
    const ids = [...text.matchAll(ID_LINE)];
    const last = ids[ids.length - 1]?.[1];
    if (last !== undefined) this.lastId = Number(last);
  }
}

/** The index behind the last pair of line feeds; 0 when there is none. */
function findEnd(bytes: Uint8Array): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] === LINE_FEED && bytes[at - 1] === LINE_FEED) return at + 1;
  }
  return 0;
}
