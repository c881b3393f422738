/**
 * Appends the records of one partition in groups: one append at a time, and
 * what arrives meanwhile goes into the next one.
 */
import {type Clock, sleep} from '@mimosatack/clock';
import {type LogService} from '@mimosatack/platform';
import {type RandomSource, addJitter} from '@mimosatack/random';
import {type ClaimStreamRecord, encodeClaimBatch} from './claim_records.js';
import {type ClaimOptions} from './options.js';

/** What all parts of a partition are built from. */
export interface PartitionContext {
  clock: Clock;
  random: RandomSource;
  log: LogService;
  stream: string;
  /** This node, as the author of records. */
  incarnation: string;
  options: ClaimOptions;
}

/** A record on its way to the log. */
export interface OutgoingRecord {
  record: ClaimStreamRecord;
  /** Whether it is still worth appending. */
  isWanted(): boolean;
  /** Told before an append that carries it is begun. */
  noteSent(): void;
}

/** Totals of appends since the start. */
export interface WriterCounters {
  appends: number;
  records: number;
  /** Appends without an answer, whose records were appended again. */
  failedAppends: number;
}

const RETRY_JITTER = 0.5;
/** Outcomes of an outage; the oldest go first, and their keys are unknown. */
const MAX_WAITING_RECORDS = 20_000;
const FAILING_AFTER = 3;
const FAILING_FOR_MS = 1_000;

/** The task that owns the appends of one partition. */
export class ClaimWriter {
  readonly counters: WriterCounters = {
    appends: 0,
    records: 0,
    failedAppends: 0,
  };
  private waiting: OutgoingRecord[] = [];
  private isMarkDue = false;
  private loop: Promise<void> | null = null;
  private nextAppendMs = 0;
  private failures = 0;
  private lastFailureMs = 0;

  constructor(
    private readonly context: PartitionContext,
    private readonly stopping: AbortSignal,
  ) {}

  /** Whether appends have failed lately; it turns false to be tried again. */
  get isFailing(): boolean {
    const sinceMs = this.context.clock.monotonicMs() - this.lastFailureMs;
    return this.failures >= FAILING_AFTER && sinceMs < FAILING_FOR_MS;
  }

  get isIdle(): boolean {
    return this.loop === null;
  }

  push(outgoing: OutgoingRecord): void {
    this.waiting.push(outgoing);
    this.waiting.splice(0, this.waiting.length - MAX_WAITING_RECORDS);
    this.run();
  }

  /** Appends an empty batch, which tells later readers the time. */
  mark(): void {
    this.isMarkDue = true;
    this.run();
  }

  async whenStopped(): Promise<void> {
    await this.loop;
  }

  /** Resolves once all that waits is appended, or the time is over. */
  async flush(timeoutMs: number): Promise<void> {
    await Promise.race([this.loop, sleep(this.context.clock, timeoutMs)]);
  }

  private run(): void {
    this.loop ??= this.appendAll().finally(() => {
      this.loop = null;
      // A record may have come after the loop looked for the last time.
      if (this.hasWork() && !this.stopping.aborted) this.run();
    });
  }

  private async appendAll(): Promise<void> {
    // Lets all that is claimed in this turn go into the first append.
    await Promise.resolve();
    while (!this.stopping.aborted && this.hasWork()) {
      await this.waitForTurn();
      await this.appendBatch(this.takeBatch());
    }
  }

  private hasWork(): boolean {
    return this.waiting.length > 0 || this.isMarkDue;
  }

  private async waitForTurn(): Promise<void> {
    const {clock, options} = this.context;
    const waitMs = this.nextAppendMs - clock.monotonicMs();
    if (waitMs > 0) await sleep(clock, waitMs, this.stopping);
    this.nextAppendMs = clock.monotonicMs() + options.appendGapMs;
  }

  private takeBatch(): OutgoingRecord[] {
    return this.waiting
      .splice(0, this.context.options.maxBatchRecords)
      .filter(outgoing => outgoing.isWanted());
  }

  /**
   * Guards against an answer that is lost after the append took effect: the
   * same records are appended again; the fold passes over second copies. The
   * time is told anew, as it bounds how old the records can be.
   */
  private async appendBatch(batch: OutgoingRecord[]): Promise<void> {
    if (batch.length === 0 && !this.isMarkDue) return;
    const {log, stream} = this.context;
    batch.forEach(outgoing => outgoing.noteSent());
    try {
      await log.append(stream, this.encode(batch));
      this.isMarkDue = false;
      this.failures = 0;
      this.counters.appends += 1;
      this.counters.records += batch.length;
    } catch {
      this.waiting.unshift(...batch);
      await this.noteFailure();
    }
  }

  private encode(batch: readonly OutgoingRecord[]): Uint8Array {
    return encodeClaimBatch({
      author: this.context.incarnation,
      writtenAtMs: Math.floor(this.context.clock.wallMs()),
      records: batch.map(outgoing => outgoing.record),
    });
  }

  private async noteFailure(): Promise<void> {
    const {clock, random, options} = this.context;
    this.failures += 1;
    this.lastFailureMs = clock.monotonicMs();
    this.counters.failedAppends += 1;
    const pauseMs = addJitter(random, options.retryDelayMs, RETRY_JITTER);
    await sleep(clock, pauseMs, this.stopping);
  }
}
