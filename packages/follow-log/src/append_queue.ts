/**
 * Appends records in groups. An author learns the fate of its record only
 * when the record is read back, so a lost answer changes nothing.
 */
import {type FoldedRecord} from '@mimosatack/agreed-state';
import {type Clock, sleep} from '@mimosatack/clock';
import {type LogService} from '@mimosatack/platform';
import {type RandomSource, addJitter} from '@mimosatack/random';
import {type RecordBody, encodeBatch} from '@mimosatack/records';
import {type NodeIncarnation} from '@mimosatack/types';
import {
  type Submission,
  type SubmitOptions,
  makeExpiryError,
} from './submission.js';

/** What an append queue is built from. */
export interface AppendQueueOptions {
  clock: Clock;
  random: RandomSource;
  log: LogService;
  stream: string;
  incarnation: NodeIncarnation;
  /** How long to wait before an append that failed is tried again. */
  retryDelayMs: number;
}

const MAX_BATCH_RECORDS = 128;
const RETRY_JITTER = 0.5;

/** Records of this node on their way into the log. */
export class AppendQueue {
  private readonly outbox: Submission[] = [];
  private readonly pending = new Map<string, Submission>();
  private readonly stopping = new AbortController();
  private recordCounter = 0;
  private isAppending = false;

  constructor(private readonly options: AppendQueueOptions) {}

  /**
   * Appends one record and resolves with its verdict once it is read back.
   * Rejects with `log-unavailable`; `run` says whether it may take effect.
   */
  submit(
    body: RecordBody,
    basisSequence: number,
    options: SubmitOptions,
  ): Promise<FoldedRecord> {
    const {clock, incarnation} = this.options;
    const recordId = `${incarnation}-${this.recordCounter++}`;
    return new Promise((resolve, reject) => {
      const submission: Submission = {
        record: {
          recordId,
          author: incarnation,
          basisSequence,
          writtenAtMs: clock.wallMs(),
          operator: options.operator ?? null,
          reason: options.reason ?? null,
          body,
        },
        wasSent: false,
        expiry: clock.setTimer(options.timeoutMs, () => this.expire(recordId)),
        resolve,
        reject,
      };
      this.pending.set(recordId, submission);
      this.outbox.push(submission);
      void this.appendLoop();
    });
  }

  /** A second copy of a record is void; only the first settles its author. */
  settle(folded: FoldedRecord): void {
    if (folded.recordId === null) return;
    const submission = this.take(folded.recordId);
    submission?.resolve(folded);
  }

  stop(): void {
    this.stopping.abort();
    [...this.pending.keys()].forEach(recordId => this.expire(recordId));
  }

  private expire(recordId: string): void {
    const submission = this.take(recordId);
    submission?.reject(makeExpiryError(submission));
  }

  private take(recordId: string): Submission | undefined {
    const submission = this.pending.get(recordId);
    submission?.expiry.cancel();
    this.pending.delete(recordId);
    return submission;
  }

  /** One append at a time; what arrives meanwhile goes into the next one. */
  private async appendLoop(): Promise<void> {
    if (this.isAppending) return;
    this.isAppending = true;
    while (this.outbox.length > 0 && !this.stopping.signal.aborted) {
      const batch = this.takeBatch();
      if (batch.length > 0) await this.appendUntilDone(batch);
    }
    this.isAppending = false;
  }

  private takeBatch(): Submission[] {
    return this.outbox
      .splice(0, MAX_BATCH_RECORDS)
      .filter(submission => this.isPending(submission));
  }

  /**
   * Guards against an answer that is lost after the write took effect: the
   * same records, with the same ids, are appended again until an answer comes
   * or they are read back; the fold drops the second copy.
   */
  private async appendUntilDone(batch: readonly Submission[]): Promise<void> {
    let open = batch;
    while (open.length > 0 && !this.stopping.signal.aborted) {
      if (await this.tryAppend(open)) return;
      await this.pause();
      open = open.filter(submission => this.isPending(submission));
    }
  }

  private async tryAppend(batch: readonly Submission[]): Promise<boolean> {
    const {log, stream} = this.options;
    batch.forEach(submission => {
      submission.wasSent = true;
    });
    const records = batch.map(submission => submission.record);
    try {
      await log.append(stream, encodeBatch(records));
      return true;
    } catch {
      return false;
    }
  }

  private isPending(submission: Submission): boolean {
    return this.pending.has(submission.record.recordId);
  }

  private pause(): Promise<void> {
    const {clock, random, retryDelayMs} = this.options;
    const delayMs = addJitter(random, retryDelayMs, RETRY_JITTER);
    return sleep(clock, delayMs, this.stopping.signal);
  }
}
