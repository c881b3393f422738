/** Keeps a table up to date with its topic in the store. */
import {type Clock, sleep} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type RandomSource, addJitter} from '@mimosatack/random';
import {type KeyedTable} from './keyed_table.js';
import {findEra} from './store_era.js';
import {
  type KeyedChange,
  type KeyedTopic,
  type ReadOutcome,
} from './keyed_topic.js';

/**
 * `increment`: records since the last read. `snapshot`: the newest record of each key.
 * `restored`: the first snapshot since the store came back from a copy; its records may
 * hold older values than those known before.
 */
export type ReadKind = 'increment' | 'snapshot' | 'restored';

/** What ended the delay after a failed read: its end, or a request for a snapshot. */
export type DelayEnd = 'timer' | 'reload';

/** How a topic that could not be read was read again. */
export interface ReadRecovery {
  /** Time since the first of the consecutive failures; null for the first read. */
  lostForMs: number | null;
  /** Consecutive failures, each of one read. */
  failedReads: number;
  /** The delay before the read that succeeded, and what ended it. */
  delayMs: number;
  delayEnd: DelayEnd;
  /** How long that read took. */
  readMs: number;
}

export interface KeyedFollowerOptions {
  clock: Clock;
  random: RandomSource;
  topic: KeyedTopic;
  table: KeyedTable;
  /** How long a read waits in the store for a new record. */
  waitMs: () => number;
  /**
   * The minimum time between the starts of two reads, so that frequent changes
   * are read in batches.
   */
  minIntervalMs: number;
  /**
   * After this time without a successful read, a snapshot is read: if keys
   * change often, the snapshot is smaller than the records written since.
   */
  snapshotAfterMs?: number;
  /** The delay after the first failed read. */
  retryDelayMs: number;
  /**
   * The upper limit of the retry delay, which doubles with each consecutive
   * failure; if unset, the delay is constant. Guards against retries of many
   * nodes that multiply the billed calls to the store during an outage: refused calls
   * are billed too. Doubling reduces 37 calls in ten seconds to 7.
   */
  maxRetryDelayMs?: () => number;
  /** False while the table is kept up to date by other means. */
  isNeeded?: () => boolean;
  /** Called for changes, and for each snapshot. */
  onChanges: (changes: readonly KeyedChange[], kind: ReadKind) => void;
  /** Called on the first of consecutive failures. */
  onLost: (error: TypedError) => void;
  /** Called on the first success, and on the first after a failure. */
  onRegained: (recovery: ReadRecovery) => void;
}

const RETRY_JITTER = 0.5;
/**
 * The limit of the retry delay before the first successful read, while the node
 * may know no peer that has the records.
 */
const MAX_FIRST_RETRY_MS = 500;

/** Reads a topic until it is stopped. */
export class KeyedFollower {
  private readonly stopping = new AbortController();
  private longPollController: AbortController | null = null;
  private pauseController: AbortController | null = null;
  private isLastReadOk = false;
  private hasSnapshot = false;
  /** The era of the last snapshot; null before the first one. */
  private snapshotEra: number | null = null;
  private succeededAtMs = -Infinity;
  private lastSuccessStartedAtMs = -Infinity;
  private consecutiveFailures = 0;
  private lostAtMs = -Infinity;
  private lastDelayMs = 0;
  private lastDelayEnd: DelayEnd = 'timer';

  constructor(private readonly options: KeyedFollowerOptions) {
    options.topic.era.onRestored(() => this.reload());
  }

  /** Whether the last read succeeded. */
  get isReachable(): boolean {
    return this.isLastReadOk;
  }

  /** When the last successful read finished, on the monotonic clock. */
  get lastSuccessMs(): number {
    return this.succeededAtMs;
  }

  /**
   * When the last successful read started, on the monotonic clock. The table
   * holds all records that the store accepted before then.
   */
  get lastSuccessStartMs(): number {
    return this.lastSuccessStartedAtMs;
  }

  start(): void {
    void this.run();
  }

  /**
   * Aborts a waiting read and reads at once. Guards against a dead connection,
   * which a waiting read can't tell from a topic without changes; call this on
   * evidence of a missed change. A read that does not wait continues, because
   * repeated restarts would keep a large or slow response from completing.
   */
  refresh(): void {
    this.longPollController?.abort();
  }

  /** Reads a snapshot at once. */
  reload(): void {
    this.hasSnapshot = false;
    this.refresh();
    this.endPause('reload');
  }

  stop(): void {
    this.stopping.abort();
    this.longPollController?.abort();
    this.pauseController?.abort();
  }

  private async run(): Promise<void> {
    const {clock, minIntervalMs} = this.options;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const startedAtMs = clock.monotonicMs();
      if (this.shouldRead) await this.readOnce(signal);
      const remainingMs = startedAtMs + minIntervalMs - clock.monotonicMs();
      if (remainingMs > 0) await this.pause(remainingMs);
    }
  }

  /** Ends early on `reload` and `stop`. */
  private async pause(durationMs: number): Promise<void> {
    const controller = new AbortController();
    this.pauseController = controller;
    await sleep(this.options.clock, durationMs, controller.signal);
    this.pauseController = null;
  }

  private endPause(reason: DelayEnd): void {
    if (!this.pauseController) return;
    this.lastDelayEnd = reason;
    this.pauseController.abort();
  }

  private async delayRetry(): Promise<void> {
    const {clock, random} = this.options;
    const startedAtMs = clock.monotonicMs();
    this.lastDelayEnd = 'timer';
    await this.pause(
      addJitter(random, this.computeRetryDelayMs(), RETRY_JITTER),
    );
    this.lastDelayMs = clock.monotonicMs() - startedAtMs;
  }

  private get shouldRead(): boolean {
    return !this.hasSnapshot || (this.options.isNeeded?.() ?? true);
  }

  private get canReadIncrementally(): boolean {
    const {clock, snapshotAfterMs = Infinity} = this.options;
    const ageMs = clock.monotonicMs() - this.succeededAtMs;
    return this.hasSnapshot && ageMs <= snapshotAfterMs;
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const startedAtMs = this.options.clock.monotonicMs();
    try {
      const {changes, kind} = this.canReadIncrementally
        ? await this.loadIncrement()
        : await this.loadSnapshot();
      if (signal.aborted) return;
      this.recordSuccess(startedAtMs);
      if (this.hasSnapshot) this.lastSuccessStartedAtMs = startedAtMs;
      if (changes.length > 0 || kind !== 'increment') {
        this.options.onChanges(changes, kind);
      }
    } catch (thrown) {
      if (signal.aborted) return;
      if (thrown instanceof ReadAbortedByRefresh) return;
      this.recordFailure(toTypedError(thrown));
      if (!this.stopping.signal.aborted) await this.delayRetry();
    }
  }

  private async loadSnapshot(): Promise<KeyedRead> {
    const {topic, table} = this.options;
    const snapshot = await topic.readSnapshot();
    const era = findEra(snapshot.endOffset);
    const isRestored = this.snapshotEra !== null && era > this.snapshotEra;
    this.snapshotEra = era;
    // The store may have come back from another copy meanwhile.
    this.hasSnapshot = era === topic.era.number;
    const changes = table.applySnapshot(snapshot);
    return {changes, kind: isRestored ? 'restored' : 'snapshot'};
  }

  private async loadIncrement(): Promise<KeyedRead> {
    const {topic, table} = this.options;
    const fromOffset = table.endOffset;
    // The response to a read that waits would tell only later that the store is back.
    const waitMs = this.isLastReadOk ? this.options.waitMs() : 0;
    const outcome =
      waitMs > 0
        ? await this.longPollFrom(fromOffset, waitMs)
        : await topic.readFrom(fromOffset, waitMs);
    if (outcome.status === 'expired') {
      this.hasSnapshot = false;
      return {changes: [], kind: 'increment'};
    }
    const {records, endOffset} = outcome;
    const changes = table.applyRecords(fromOffset, records, endOffset);
    return {changes, kind: 'increment'};
  }

  /** Throws `ReadAbortedByRefresh` if `refresh` aborted the read. */
  private async longPollFrom(
    fromOffset: number,
    waitMs: number,
  ): Promise<ReadOutcome> {
    const longPollController = new AbortController();
    this.longPollController = longPollController;
    try {
      const {topic} = this.options;
      return await topic.readFrom(
        fromOffset,
        waitMs,
        longPollController.signal,
      );
    } catch (thrown) {
      throw longPollController.signal.aborted
        ? new ReadAbortedByRefresh()
        : thrown;
    } finally {
      this.longPollController = null;
    }
  }

  private computeRetryDelayMs(): number {
    const {retryDelayMs, maxRetryDelayMs} = this.options;
    const backoffMs = retryDelayMs * 2 ** (this.consecutiveFailures - 1);
    const limitMs = maxRetryDelayMs?.() ?? retryDelayMs;
    const hasNeverRead = this.succeededAtMs === -Infinity;
    const cappedMs = Math.min(backoffMs, Math.max(limitMs, retryDelayMs));
    return hasNeverRead ? Math.min(cappedMs, MAX_FIRST_RETRY_MS) : cappedMs;
  }

  private recordSuccess(readStartedAtMs: number): void {
    const failedReads = this.consecutiveFailures;
    const nowMs = this.options.clock.monotonicMs();
    this.consecutiveFailures = 0;
    this.succeededAtMs = nowMs;
    if (this.isLastReadOk) return;
    this.isLastReadOk = true;
    this.options.onRegained({
      lostForMs: failedReads > 0 ? nowMs - this.lostAtMs : null,
      failedReads,
      ...{delayMs: this.lastDelayMs, delayEnd: this.lastDelayEnd},
      readMs: nowMs - readStartedAtMs,
    });
  }

  private recordFailure(error: TypedError): void {
    if (this.consecutiveFailures === 0) {
      this.lostAtMs = this.options.clock.monotonicMs();
    }
    this.consecutiveFailures += 1;
    if (!this.isLastReadOk) return;
    this.isLastReadOk = false;
    this.options.onLost(error);
  }
}

interface KeyedRead {
  changes: KeyedChange[];
  kind: ReadKind;
}

class ReadAbortedByRefresh extends Error {}
