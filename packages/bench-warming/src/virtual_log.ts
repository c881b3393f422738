/** Simulates the log service and the state that all nodes derive from it. */
import {AgreedState} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type RecordBody, encodeBatch} from '@mimosatack/records';

/** Delay from a submission until all nodes have applied the record. */
const APPEND_MS = 20;

/** Applies records after `APPEND_MS`, or at the end of an outage. */
export class VirtualLog {
  readonly state = new AgreedState();
  isDown = false;
  private pending: (() => void)[] = [];
  private recordCount = 0;

  constructor(private readonly clock: Clock) {}

  /** Applies a record immediately; throws if it is void. */
  writeNow(body: RecordBody, author = 'operator'): void {
    const outcome = this.fold(body, author);
    if (outcome?.status === 'void') throw new Error(outcome.message);
  }

  submit(body: RecordBody, author: string): void {
    const append = () => {
      if (this.isDown) this.pending.push(append);
      else this.fold(body, author);
    };
    this.clock.setTimer(APPEND_MS, append);
  }

  /** Ends an outage and applies the records submitted during it. */
  restore(): void {
    this.isDown = false;
    const pending = this.pending;
    this.pending = [];
    pending.forEach(append => append());
  }

  private fold(body: RecordBody, author: string) {
    this.recordCount += 1;
    const record = {
      recordId: `record-${this.recordCount}`,
      author,
      basisSequence: this.state.sequence,
      writtenAtMs: this.clock.wallMs(),
      operator: null,
      reason: null,
      body,
    };
    const {nextOffset} = this.state;
    const [folded] = this.state.foldAppend(nextOffset, encodeBatch([record]));
    return folded?.outcome;
  }
}
