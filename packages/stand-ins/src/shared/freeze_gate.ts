/** Simulates a process that is suspended and resumed. */
import {type Clock, type Timer} from '@mimosatack/clock';

/** Defers callbacks while the stand-in is frozen. */
export class FreezeGate {
  private frozen = false;
  private deferred: Array<() => void> = [];
  private thawTimer: Timer | undefined;

  constructor(private readonly clock: Clock) {}

  /** The number of deferred callbacks. */
  get deferredCount(): number {
    return this.deferred.length;
  }

  /** Freezes for `forMs`, or until `thaw` if it is null. */
  freeze(forMs: number | null): void {
    this.thawTimer?.cancel();
    this.frozen = true;
    this.thawTimer =
      forMs === null
        ? undefined
        : this.clock.setTimer(forMs, () => this.thaw());
  }

  /** Runs all deferred callbacks, in the order in which they were passed. */
  thaw(): void {
    this.thawTimer?.cancel();
    this.frozen = false;
    const released = this.deferred;
    this.deferred = [];
    released.forEach(callback => callback());
  }

  /** Freezes and drops deferred callbacks, as in a process crash. */
  close(): void {
    this.freeze(null);
    this.deferred = [];
  }

  /** Calls `callback` now, or on `thaw` while frozen. */
  runWhenOpen(callback: () => void): void {
    if (this.frozen) this.deferred.push(callback);
    else callback();
  }

  /** Resolves now, or on `thaw` while frozen. */
  whenOpen(): Promise<void> {
    return new Promise(resolve => this.runWhenOpen(resolve));
  }
}
