/** A test process with a configuration version and a clock of its own. */
import {ManualClock, SuspensionAwareClock} from '@mimosatack/clock';
import {ConfirmationExchange} from './confirmation_exchange.js';
import {type Hello, type HelloStatus} from './messages.js';
import {readHello} from './read_hello.js';

export class TestNode {
  constructor(readonly incarnation = 'n.1') {}

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

  hello(holder: string): Pick<Hello, 'to' | 'status'> {
    return {to: holder, status: this.makeStatus(holder)};
  }

  receive(hello: Pick<Hello, 'to' | 'status'>): void {
    this.confirmation.handleHello(readHello(hello, this.incarnation));
  }

  private makeStatus(holder: string): HelloStatus {
    const {incarnation, version: configurationVersion} = this;
    return {
      ...{nodeName: 'n', incarnation, isServing: true, uptimeMs: 0},
      ...{reachesServers: true, knowsPlaces: true, configurationVersion},
      ...{serversEndOffset: 0, nodesEndOffset: 0, servingListId: null},
      ...{crashes: null, quotas: null, limits: null, promise: null},
      configurationAsOfBeatMs: this.confirmation.findAsOfBeatMs(holder),
    };
  }
}
