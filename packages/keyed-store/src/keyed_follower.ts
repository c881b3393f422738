/** The task that keeps a table in step with its topic in the store. */
import {type Clock, sleep} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type RandomSource, addJitter} from '@mimosatack/random';
import {type KeyedTable} from './keyed_table.js';
import {
  type KeyedChange,
  type KeyedTopic,
  type ReadOutcome,
} from './keyed_topic.js';

/** What a follower is built from. */
export interface KeyedFollowerOptions {
  clock: Clock;
  random: RandomSource;
  topic: KeyedTopic;
  table: KeyedTable;
  /** How long the store holds a read back while there is nothing new. */
  waitMs: () => number;
  /** The least time between the begins of two reads, so that a topic with
   * many changes is read in batches. */
  minIntervalMs: number;
  /**
   * A table that was read longer ago than this is read as a whole: where all
   * keys change again and again, that is less than all that was written since.
   */
  snapshotAfterMs?: number;
  /** The wait after a failed read. */
  retryDelayMs: number;
  /**
   * It doubles with each failure in a row, up to this; without it, it stays.
   *
   * Guards against an outage that costs more calls than a day without: hundreds
   * of nodes call nearly four times a second for each of four topics, and a
   * refused call counts as any other. In ten seconds, 37 calls become 7.
   */
  maxRetryDelayMs?: () => number;
  /** False while the table is kept in step in another way. */
  isNeeded?: () => boolean;
  onChanges: (changes: readonly KeyedChange[]) => void;
  /** Told of the first failure in a row. */
  onLost: (error: TypedError) => void;
  /** Told of the first success after a failure, and of the first of all. */
  onRegained: () => void;
}

const RETRY_SPREAD = 0.5;
/** A node that has never read the topic may know nobody who has. */
const MAX_FIRST_RETRY_MS = 500;

/** Reads a topic until it is stopped. */
export class KeyedFollower {
  private readonly stopping = new AbortController();
  /** Of the read that waits, while there is one. */
  private waiting: AbortController | null = null;
  private isInStep = false;
  private hasSnapshot = false;
  private succeededAtMs = -Infinity;
  private inStepAsOfMs = -Infinity;
  private failures = 0;

  constructor(private readonly options: KeyedFollowerOptions) {}

  /** Whether the last read succeeded. */
  get isReachable(): boolean {
    return this.isInStep;
  }

  /** When the last read succeeded, on the monotonic clock. */
  get lastSuccessMs(): number {
    return this.succeededAtMs;
  }

  /**
   * When the last read that succeeded was begun, on the monotonic clock: what the
   * store took before then is known.
   */
  get asOfMs(): number {
    return this.inStepAsOfMs;
  }

  start(): void {
    void this.run();
  }

  /**
   * Ends a read that waits and reads at once. A read that does not wait goes on:
   * its answer may be large and its link slow, and one that is begun anew again
   * and again never ends. Guards against a connection that
   * has gone silent for good, which a read that waits long can't tell from a
   * topic without changes; whoever learns that it has missed one calls this.
   */
  refresh(): void {
    this.waiting?.abort();
  }

  /** Takes no more changes. */
  stop(): void {
    this.stopping.abort();
    this.waiting?.abort();
  }

  private async run(): Promise<void> {
    const {clock, minIntervalMs} = this.options;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const startedAtMs = clock.monotonicMs();
      if (this.isNeeded) await this.readOnce(signal);
      const restMs = startedAtMs + minIntervalMs - clock.monotonicMs();
      if (restMs > 0) await sleep(clock, restMs, signal);
    }
  }

  private get isNeeded(): boolean {
    return !this.hasSnapshot || (this.options.isNeeded?.() ?? true);
  }

  private get canReadOn(): boolean {
    const {clock, snapshotAfterMs = Infinity} = this.options;
    const ageMs = clock.monotonicMs() - this.succeededAtMs;
    return this.hasSnapshot && ageMs <= snapshotAfterMs;
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const startedAtMs = this.options.clock.monotonicMs();
    try {
      const changes = this.canReadOn
        ? await this.readOn()
        : await this.readAll();
      if (signal.aborted) return;
      this.noteSuccess();
      if (this.hasSnapshot) this.inStepAsOfMs = startedAtMs;
      if (changes.length > 0) this.options.onChanges(changes);
    } catch (thrown) {
      if (signal.aborted) return;
      if (thrown instanceof RefreshedRead) return;
      this.noteFailure(toTypedError(thrown));
      const {clock, random} = this.options;
      const delayMs = addJitter(random, this.findRetryDelayMs(), RETRY_SPREAD);
      await sleep(clock, delayMs, signal);
    }
  }

  private async readAll(): Promise<KeyedChange[]> {
    const {topic, table} = this.options;
    const snapshot = await topic.readNewest();
    this.hasSnapshot = true;
    return table.applySnapshot(snapshot);
  }

  private async readOn(): Promise<KeyedChange[]> {
    const {topic, table} = this.options;
    const fromOffset = table.endOffset;
    const waitMs = this.options.waitMs();
    const outcome =
      waitMs > 0
        ? await this.waitFrom(fromOffset, waitMs)
        : await topic.readFrom(fromOffset, waitMs);
    if (outcome.status === 'expired') {
      this.hasSnapshot = false;
      return [];
    }
    return table.applyRecords(fromOffset, outcome.records, outcome.endOffset);
  }

  /** Throws `RefreshedRead` when `refresh` has ended it. */
  private async waitFrom(
    fromOffset: number,
    waitMs: number,
  ): Promise<ReadOutcome> {
    const waiting = new AbortController();
    this.waiting = waiting;
    try {
      const {topic} = this.options;
      return await topic.readFrom(fromOffset, waitMs, waiting.signal);
    } catch (thrown) {
      throw waiting.signal.aborted ? new RefreshedRead() : thrown;
    } finally {
      this.waiting = null;
    }
  }

  private findRetryDelayMs(): number {
    const {retryDelayMs, maxRetryDelayMs} = this.options;
    const grownMs = retryDelayMs * 2 ** (this.failures - 1);
    const mostMs = maxRetryDelayMs?.() ?? retryDelayMs;
    const isFirst = this.succeededAtMs === -Infinity;
    const cappedMs = Math.min(grownMs, Math.max(mostMs, retryDelayMs));
    return isFirst ? Math.min(cappedMs, MAX_FIRST_RETRY_MS) : cappedMs;
  }

  private noteSuccess(): void {
    this.failures = 0;
    this.succeededAtMs = this.options.clock.monotonicMs();
    if (this.isInStep) return;
    this.isInStep = true;
    this.options.onRegained();
  }

  private noteFailure(error: TypedError): void {
    this.failures += 1;
    if (!this.isInStep) return;
    this.isInStep = false;
    this.options.onLost(error);
  }
}

/** A read that waited was ended, so as to read at once. */
class RefreshedRead extends Error {}
