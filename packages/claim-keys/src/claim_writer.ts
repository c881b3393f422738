/**
 * Appends the records of one partition in batches, one append at a time.
 * Records that arrive during an append go into the next batch.
 */
import {type Clock, sleep} from '@mimosatack/clock';
import {type LogService} from '@mimosatack/platform';
import {type RandomSource, addJitter} from '@mimosatack/random';
import {type ClaimStreamRecord, encodeClaimBatch} from './claim_records.js';
import {type ClaimOptions} from './options.js';

/** Dependencies shared by the parts of a partition. */
export interface PartitionContext {
  clock: Clock;
  random: RandomSource;
  log: LogService;
  stream: string;
  /** Identifies this process as the author of records. */
  incarnation: string;
  options: ClaimOptions;
}

/** A record queued for append. */
export interface OutgoingRecord {
  record: ClaimStreamRecord;
  /** Whether the record still has to be appended. */
  isNeeded(): boolean;
  /** Called before each append that carries the record. */
  onSend(): void;
}

/** Totals since the start. */
export interface WriterCounters {
  appends: number;
  records: number;
  /** Appends that failed and whose records were appended again. */
  failedAppends: number;
}

const RETRY_JITTER = 0.5;
/**
 * Bounds the queue during a log outage. The oldest records are dropped first;
 * the outcome of their keys is then unknown.
 */
const MAX_QUEUED_RECORDS = 20_000;
/** Consecutive failed appends after which the writer reports a failure. */
const FAILURE_THRESHOLD = 3;
const FAILURE_REPORT_MS = 1_000;

/** Owns the appends of one partition. */
export class ClaimWriter {
  readonly counters: WriterCounters = {
    appends: 0,
    records: 0,
    failedAppends: 0,
  };
  private queue: OutgoingRecord[] = [];
  private isHeartbeatDue = false;
  private appendLoop: Promise<void> | null = null;
  private nextAppendMs = 0;
  private failures = 0;
  private lastFailureMs = 0;

  constructor(
    private readonly context: PartitionContext,
    private readonly stopping: AbortSignal,
  ) {}

  /** True for a time after repeated failures; then false, so that claims resume. */
  get isFailing(): boolean {
    const sinceMs = this.context.clock.monotonicMs() - this.lastFailureMs;
    return this.failures >= FAILURE_THRESHOLD && sinceMs < FAILURE_REPORT_MS;
  }

  get isIdle(): boolean {
    return this.appendLoop === null;
  }

  push(outgoing: OutgoingRecord): void {
    this.queue.push(outgoing);
    this.queue.splice(0, this.queue.length - MAX_QUEUED_RECORDS);
    this.ensureRunning();
  }

  /** Appends an empty batch, which gives later readers a recent write time. */
  requestHeartbeat(): void {
    this.isHeartbeatDue = true;
    this.ensureRunning();
  }

  async whenStopped(): Promise<void> {
    await this.appendLoop;
  }

  /** Resolves when the queue is empty, or after the timeout. */
  async flush(timeoutMs: number): Promise<void> {
    await Promise.race([this.appendLoop, sleep(this.context.clock, timeoutMs)]);
  }

  private ensureRunning(): void {
    this.appendLoop ??= this.appendAll().finally(() => {
      this.appendLoop = null;
      // A record may have been queued after the loop's last check.
      if (this.hasWork() && !this.stopping.aborted) this.ensureRunning();
    });
  }

  private async appendAll(): Promise<void> {
    // Batches all records that are pushed in the current tick.
    await Promise.resolve();
    while (!this.stopping.aborted && this.hasWork()) {
      await this.waitForAppendSlot();
      await this.appendBatch(this.takeBatch());
    }
  }

  private hasWork(): boolean {
    return this.queue.length > 0 || this.isHeartbeatDue;
  }

  private async waitForAppendSlot(): Promise<void> {
    const {clock, options} = this.context;
    const waitMs = this.nextAppendMs - clock.monotonicMs();
    if (waitMs > 0) await sleep(clock, waitMs, this.stopping);
    this.nextAppendMs = clock.monotonicMs() + options.appendGapMs;
  }

  private takeBatch(): OutgoingRecord[] {
    return this.queue
      .splice(0, this.context.options.maxBatchRecords)
      .filter(outgoing => outgoing.isNeeded());
  }

  /**
   * Guards against a response lost after the append took effect: the records
   * are appended again, and the fold ignores duplicates. Each retry carries a
   * new write time, as that time bounds the age of the records.
   */
  private async appendBatch(batch: OutgoingRecord[]): Promise<void> {
    if (batch.length === 0 && !this.isHeartbeatDue) return;
    const {log, stream} = this.context;
    batch.forEach(outgoing => outgoing.onSend());
    try {
      await log.append(stream, this.encode(batch));
      this.isHeartbeatDue = false;
      this.failures = 0;
      this.counters.appends += 1;
      this.counters.records += batch.length;
    } catch {
      this.queue.unshift(...batch);
      await this.handleFailure();
    }
  }

  private encode(batch: readonly OutgoingRecord[]): Uint8Array {
    return encodeClaimBatch({
      author: this.context.incarnation,
      writtenAtMs: Math.floor(this.context.clock.wallMs()),
      records: batch.map(outgoing => outgoing.record),
    });
  }

  private async handleFailure(): Promise<void> {
    const {clock, random, options} = this.context;
    this.failures += 1;
    this.lastFailureMs = clock.monotonicMs();
    this.counters.failedAppends += 1;
    const pauseMs = addJitter(random, options.retryDelayMs, RETRY_JITTER);
    await sleep(clock, pauseMs, this.stopping);
  }
}
