/**
 * Appends records to the log in batches. A submission settles only when its
 * record is read back, so a lost append response does not affect the result.
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

export interface AppendQueueOptions {
  clock: Clock;
  random: RandomSource;
  log: LogService;
  stream: string;
  incarnation: NodeIncarnation;
  /** Delay before a failed append is retried. */
  retryDelayMs: number;
}

const MAX_BATCH_RECORDS = 128;
const RETRY_JITTER = 0.5;

/** Records of this node that have not been read back yet. */
export class AppendQueue {
  private readonly outbox: Submission[] = [];
  private readonly pending = new Map<string, Submission>();
  private readonly stopping = new AbortController();
  private recordCounter = 0;
  private isAppending = false;

  constructor(private readonly options: AppendQueueOptions) {}

  /**
   * Appends one record and resolves with its outcome when it is read back.
   * Rejects with `log-unavailable` on timeout or stop; `run` tells whether the
   * record may still take effect.
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

  /** Only the first copy of a record settles its submission; others are void. */
  settle(folded: FoldedRecord): void {
    if (folded.recordId === null) return;
    const submission = this.removePending(folded.recordId);
    submission?.resolve(folded);
  }

  stop(): void {
    this.stopping.abort();
    [...this.pending.keys()].forEach(recordId => this.expire(recordId));
  }

  private expire(recordId: string): void {
    const submission = this.removePending(recordId);
    submission?.reject(makeExpiryError(submission));
  }

  private removePending(recordId: string): Submission | undefined {
    const submission = this.pending.get(recordId);
    submission?.expiry.cancel();
    this.pending.delete(recordId);
    return submission;
  }

  /** Runs one append at a time; records submitted meanwhile join the next. */
  private async appendLoop(): Promise<void> {
    if (this.isAppending) return;
    this.isAppending = true;
    while (this.outbox.length > 0 && !this.stopping.signal.aborted) {
      const batch = this.takeBatch();
      if (batch.length > 0) await this.appendWithRetries(batch);
    }
    this.isAppending = false;
  }

  private takeBatch(): Submission[] {
    return this.outbox
      .splice(0, MAX_BATCH_RECORDS)
      .filter(submission => this.isPending(submission));
  }

  /**
   * Guards against a response that is lost after the append took effect: the
   * same records are retried until one append succeeds or they are read back.
   * The fold drops duplicates by record id.
   */
  private async appendWithRetries(batch: readonly Submission[]): Promise<void> {
    let unconfirmed = batch;
    while (unconfirmed.length > 0 && !this.stopping.signal.aborted) {
      if (await this.tryAppend(unconfirmed)) return;
      await this.waitBeforeRetry();
      unconfirmed = unconfirmed.filter(submission =>
        this.isPending(submission),
      );
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

  private waitBeforeRetry(): Promise<void> {
    const {clock, random, retryDelayMs} = this.options;
    const delayMs = addJitter(random, retryDelayMs, RETRY_JITTER);
    return sleep(clock, delayMs, this.stopping.signal);
  }
}
