/** Bounds the memory that all requests of a node hold together. */
import {type HoldingOwner, MemoryHolding} from './memory_holding.js';

/** No memory is left for a request. */
export interface MemoryRefusal {
  retryAfterMs: number;
}

export interface MemoryReview {
  /** To be disconnected; the first holds the most. */
  cutOff: readonly MemoryHolding[];
}

/** Leaves room for the responses that are being read when requests are paused. */
const PRESSURE_FRACTION = 0.75;
/** Shorter than the time after which servers cut off a response that is not read. */
const MAX_UNREAD_MS = 2_000;
/** Heap of an open request with its two connections, measured with 100 of them. */
const REQUEST_BYTES = 32_768;
/** Time in which callers that read nothing are cut off, and an address list expires. */
const RETRY_AFTER_MS = 2_000;
/** Spreads the return of refused callers over a third of that. */
const RETRY_STEPS = 16;

export class MemoryBudget implements HoldingOwner {
  private readonly holdings = new Set<MemoryHolding>();
  private paused: MemoryHolding[] = [];
  private used = 0;
  private exhaustedAtMs: number | null = null;
  private refusals = 0;

  /** @param onPressure called when the used memory goes over 0.75 of the limit. */
  constructor(
    readonly limitBytes: number,
    private readonly onPressure: (nowMs: number) => void = () => undefined,
  ) {}

  get usedBytes(): number {
    return this.used;
  }

  get isUnderPressure(): boolean {
    return this.used > this.pressureBytes;
  }

  /** From when the limit is reached until the pressure ends. */
  get isExhausted(): boolean {
    return this.exhaustedAtMs !== null;
  }

  /** Reserves memory for a request with a body of so many bytes. */
  admit(bodyBytes: number, nowMs: number): MemoryHolding | MemoryRefusal {
    if (!this.hasRoom(REQUEST_BYTES + bodyBytes)) return this.refuse(nowMs);
    const holding = new MemoryHolding(this, REQUEST_BYTES, nowMs);
    this.holdings.add(holding);
    this.recordChange(REQUEST_BYTES, nowMs);
    holding.set('body', bodyBytes, nowMs);
    return holding;
  }

  /** Reserves more memory for a body whose length was not declared. */
  growBody(
    holding: MemoryHolding,
    bodyBytes: number,
    nowMs: number,
  ): MemoryRefusal | null {
    const addedBytes = bodyBytes - holding.bytesOf('body');
    if (addedBytes <= 0) return null;
    if (!this.hasRoom(addedBytes)) return this.refuse(nowMs);
    holding.set('body', bodyBytes, nowMs);
    return null;
  }

  /**
   * Counts what is held back of a response. False if there is no room and it is more than an
   * equal share of the limit, so that a large response is given up before small ones.
   */
  holdBack(holding: MemoryHolding, bytes: number, nowMs: number): boolean {
    const addedBytes = bytes - holding.bytesOf('held-back');
    const shareBytes = this.limitBytes / Math.max(1, this.holdings.size);
    const hasRoom = addedBytes <= 0 || this.hasRoom(addedBytes);
    if (!hasRoom && bytes > shareBytes) return false;
    holding.set('held-back', bytes, nowMs);
    return true;
  }

  /** Decides again which requests are paused, and names the callers to cut off. */
  review(nowMs: number): MemoryReview {
    this.updateState(nowMs);
    this.updatePauses(nowMs);
    return {cutOff: this.findCutOff(nowMs)};
  }

  recordChange(changeBytes: number, nowMs: number): void {
    const wasUnderPressure = this.isUnderPressure;
    this.used += changeBytes;
    this.updateState(nowMs);
    if (wasUnderPressure && !this.isUnderPressure) this.endPauses();
    if (!wasUnderPressure && this.isUnderPressure) this.onPressure(nowMs);
  }

  release(holding: MemoryHolding): void {
    this.holdings.delete(holding);
  }

  private get pressureBytes(): number {
    return PRESSURE_FRACTION * this.limitBytes;
  }

  /** A request that is alone is admitted, whatever its size. */
  private hasRoom(bytes: number): boolean {
    return this.used === 0 || this.used + bytes <= this.limitBytes;
  }

  private refuse(nowMs: number): MemoryRefusal {
    if (this.isUnderPressure) this.exhaustedAtMs ??= nowMs;
    this.refusals += 1;
    const step = (this.refusals % RETRY_STEPS) / RETRY_STEPS;
    return {retryAfterMs: Math.round(RETRY_AFTER_MS * (1 + step / 3))};
  }

  private updateState(nowMs: number): void {
    if (this.used >= this.limitBytes) this.exhaustedAtMs ??= nowMs;
    if (!this.isUnderPressure) this.exhaustedAtMs = null;
  }

  private endPauses(): void {
    this.paused.forEach(holding => (holding.isPaused = false));
    this.paused = [];
  }

  /** Pauses those that hold the most for the longest, until the rest has room. */
  private updatePauses(nowMs: number): void {
    this.endPauses();
    const weigh = (holding: MemoryHolding) =>
      holding.unsentBytes * (nowMs - holding.openedAtMs + 1);
    let excessBytes = this.used - this.pressureBytes;
    this.paused = this.listUnsent()
      .sort((a, b) => weigh(b) - weigh(a))
      .filter(holding => {
        holding.isPaused = excessBytes > 0;
        excessBytes -= holding.unsentBytes;
        return holding.isPaused;
      });
  }

  /** Cuts off no more callers than it takes to end the pressure. */
  private findCutOff(nowMs: number): MemoryHolding[] {
    const {exhaustedAtMs} = this;
    if (exhaustedAtMs === null) return [];
    const unread = this.listUnsent().filter(
      ({lastReadAtMs}) =>
        nowMs - Math.max(lastReadAtMs, exhaustedAtMs) >= MAX_UNREAD_MS,
    );
    let excessBytes = this.used - this.pressureBytes;
    return unread
      .sort((a, b) => b.bytes - a.bytes)
      .filter(holding => {
        const isNeeded = excessBytes > 0;
        excessBytes -= holding.bytes;
        return isNeeded;
      });
  }

  private listUnsent(): MemoryHolding[] {
    return [...this.holdings].filter(({unsentBytes}) => unsentBytes > 0);
  }
}
