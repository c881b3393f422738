/** A process that stops doing anything for a while without dying. */
import {type Clock, type Timer} from '@mimosatack/clock';

/** Holds work back while the stand-in is frozen. */
export class FreezeGate {
  private frozen = false;
  private waiting: Array<() => void> = [];
  private thawTimer: Timer | undefined;

  constructor(private readonly clock: Clock) {}

  /** How many pieces of work are held back. */
  get heldCount(): number {
    return this.waiting.length;
  }

  /** Freezes until `thaw`, or for `forMs` when that is not null. */
  freeze(forMs: number | null): void {
    this.thawTimer?.cancel();
    this.frozen = true;
    this.thawTimer =
      forMs === null
        ? undefined
        : this.clock.setTimer(forMs, () => this.thaw());
  }

  /** Lets all held work go on, in the order in which it came. */
  thaw(): void {
    this.thawTimer?.cancel();
    this.frozen = false;
    const released = this.waiting;
    this.waiting = [];
    released.forEach(callback => callback());
  }

  /** Drops all held work and lets no more pass, as when the process dies. */
  close(): void {
    this.freeze(null);
    this.waiting = [];
  }

  /** Calls `callback` now, or once thawed. */
  pass(callback: () => void): void {
    if (this.frozen) this.waiting.push(callback);
    else callback();
  }

  /** Resolves now, or once thawed. */
  whenOpen(): Promise<void> {
    return new Promise(resolve => this.pass(resolve));
  }
}
