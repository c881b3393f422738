/** A node that knows a version of the configuration, on a host of its own. */
import {ManualClock, SuspensionAwareClock} from '@mimosatack/clock';
import {ToldConfirmation} from './told_confirmation.js';

/** Keeps what it is told, and tells it. */
export class TestNode {
  readonly host = new ManualClock();
  readonly clock = new SuspensionAwareClock(this.host);
  readonly told = new ToldConfirmation(this);
  asOfMs = -Infinity;
  version = 3;
  readonly ownReadMs = 1_000;

  get nowMs(): number {
    return this.clock.monotonicMs();
  }

  get ageMs(): number {
    return this.nowMs - this.asOfMs;
  }

  noteConfirmed(version: number, asOfMs: number): void {
    if (version > this.version) return;
    this.asOfMs = Math.max(this.asOfMs, asOfMs);
  }

  describe() {
    const {awakeBeatMs, confirmedAgeMs} = this.told.describe();
    return {configurationVersion: this.version, awakeBeatMs, confirmedAgeMs};
  }

  hello(holder: string) {
    const confirmedBeatMs = this.told.findBeatMs(holder);
    return {configurationVersion: this.version, confirmedBeatMs};
  }
}
