/** A test node with a configuration version and a clock of its own. */
import {ManualClock, SuspensionAwareClock} from '@mimosatack/clock';
import {ConfirmationExchange} from './confirmation_exchange.js';

export class TestNode {
  readonly host = new ManualClock();
  readonly clock = new SuspensionAwareClock(this.host);
  readonly confirmation = new ConfirmationExchange(this);
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
    const {awakeBeatMs, confirmedAgeMs} = this.confirmation.describe();
    return {configurationVersion: this.version, awakeBeatMs, confirmedAgeMs};
  }

  hello(holder: string) {
    const confirmedBeatMs = this.confirmation.findConfirmedBeatMs(holder);
    const {version: configurationVersion} = this;
    return {nodeName: 'n', configurationVersion, confirmedBeatMs};
  }
}
