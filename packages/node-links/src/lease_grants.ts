/** What this process has promised to the holder of a duty. */
import {type Clock} from '@mimosatack/clock';
import {type DutyHolder} from '@mimosatack/hold-duty';
import {type Welcome} from './messages.js';
import {type DutyPromise} from './node_roster.js';

/**
 * How long a node promises not to claim the duty: several heartbeats, and less
 * than the silence after which it would claim anyway.
 */
const PROMISE_MS = 1_500;
/**
 * A process that starts claims nothing for this long, whatever it hears, and
 * one that stops promises that of the next one of its node. A restart takes one
 * to two seconds, and the new process promises by itself half a second later.
 */
export const START_QUIET_MS = 4_000;
/**
 * The holder remembers for 10 s that this node's promise counts; it is believed
 * for less, as both clocks and a heartbeat on its way differ by some ms.
 */
const COUNTED_MS = 8_000;

/**
 * Promises not to claim the duty. They let the holder prove its lease while the
 * store can't be reached: as long as all others promise, nobody can have taken
 * the duty over.
 */
export class DutyPromises {
  private endMs = -Infinity;
  private countedBy = '';
  private countedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Until when this process must not claim. */
  get endsAtMs(): number {
    return this.endMs;
  }

  /** Binding from the moment at which it is sent. */
  make(
    {token}: DutyHolder,
    {beatMs}: Welcome,
    forMs = PROMISE_MS,
  ): DutyPromise {
    this.endMs = Math.max(this.endMs, this.clock.monotonicMs() + forMs);
    return {token, beatMs, forMs};
  }

  /** A heartbeat with a promise was answered. */
  noteAnswered({incarnation}: DutyHolder, sentAtMs: number): void {
    this.countedBy = incarnation;
    this.countedAtMs = sentAtMs;
  }

  /**
   * Whether the holder's process relies on promises only with this process's
   * own among them.
   */
  isCountedBy(incarnation: string): boolean {
    const isRecent = this.clock.monotonicMs() - this.countedAtMs < COUNTED_MS;
    return this.countedBy === incarnation && isRecent;
  }
}
