/** The log service and the fold of all nodes, in virtual time. */
import {AgreedState} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type RecordBody, encodeBatch} from '@mimosatack/records';

/** From a submission until all nodes have folded it. */
const APPEND_MS = 20;

/** Records that take effect a little later, or when the log is up again. */
export class VirtualLog {
  readonly state = new AgreedState();
  isDown = false;
  private waiting: (() => void)[] = [];
  private recordCount = 0;

  constructor(private readonly clock: Clock) {}

  /** Writes before the run begins, at once. */
  writeNow(body: RecordBody, author = 'operator'): void {
    const outcome = this.fold(body, author);
    if (outcome?.status === 'void') throw new Error(outcome.message);
  }

  submit(body: RecordBody, author: string): void {
    const append = () => {
      if (this.isDown) this.waiting.push(append);
      else this.fold(body, author);
    };
    this.clock.setTimer(APPEND_MS, append);
  }

  /** Lets in what nodes submitted again and again during the outage. */
  restore(): void {
    this.isDown = false;
    const waiting = this.waiting;
    this.waiting = [];
    waiting.forEach(append => append());
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
