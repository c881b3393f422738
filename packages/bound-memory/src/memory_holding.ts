/** What one request holds in memory. */

/**
 * - `body`: the request body, which is kept for retries;
 * - `held-back`: response bytes that may still be replaced by a retry;
 * - `unsent`: response bytes that the caller's connection has not taken.
 */
export type HeldKind = 'body' | 'held-back' | 'unsent';

/** Receives the changes of holdings. */
export interface HoldingOwner {
  recordChange(changeBytes: number, nowMs: number): void;
  release(holding: MemoryHolding): void;
}

export class MemoryHolding {
  /** Whether to stop reading the response while bytes of it are unsent. */
  isPaused = false;
  private readonly bytesByKind = new Map<HeldKind, number>();
  private totalBytes = 0;
  private isClosed = false;
  private readAtMs: number;

  constructor(
    private readonly owner: HoldingOwner,
    /** Kept for the whole time: connection, headers and state of the request. */
    private readonly fixedBytes: number,
    readonly openedAtMs: number,
  ) {
    this.readAtMs = openedAtMs;
    this.totalBytes = fixedBytes;
  }

  get bytes(): number {
    return this.totalBytes;
  }

  get unsentBytes(): number {
    return this.bytesOf('unsent');
  }

  bytesOf(kind: HeldKind): number {
    return this.bytesByKind.get(kind) ?? 0;
  }

  /** When the caller last took bytes, or had taken all of them. */
  get lastReadAtMs(): number {
    return this.readAtMs;
  }

  /** Replaces what is held of one kind; has no effect once closed. */
  set(kind: HeldKind, bytes: number, nowMs: number): void {
    if (this.isClosed) return;
    const before = this.bytesOf(kind);
    if (before === bytes) return;
    const isRead = kind === 'unsent' && (before === 0 || bytes < before);
    if (isRead) this.readAtMs = nowMs;
    this.bytesByKind.set(kind, bytes);
    this.totalBytes += bytes - before;
    this.owner.recordChange(bytes - before, nowMs);
  }

  /** Notes that the caller took bytes, also if as many were added. */
  recordRead(nowMs: number): void {
    this.readAtMs = nowMs;
  }

  /** Releases all; further calls have no effect. */
  close(nowMs: number): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.owner.release(this);
    this.owner.recordChange(-this.totalBytes, nowMs);
    this.totalBytes = 0;
  }
}
