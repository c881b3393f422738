/** Keeps a table up to date with its topic in the store. */
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type RandomSource, addJitter} from '@mimosatack/random';
import {type KeyedTable} from './keyed_table.js';
import {ReadAttempt} from './read_attempt.js';
import {type DelayEnd, InterruptibleDelay} from './interruptible_delay.js';
import {findEra} from './store_era.js';
import {type KeyedChange, type KeyedTopic} from './keyed_topic.js';

/**
 * `increment`: records since the last read. `snapshot`: the newest record of each key.
 * `restored`: the first snapshot since the store came back from a copy; its records may
 * hold older values than those known before.
 */
export type ReadKind = 'increment' | 'snapshot' | 'restored';

/** How a topic that could not be read was read again. */
export interface ReadRecovery {
  /** Time since the first of the consecutive failures; null for the first read. */
  lostForMs: number | null;
  /** Consecutive failures, each of one read. */
  failedReads: number;
  /** The last delay before the read that succeeded, and what ended it. */
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
  /**
   * A read that has no response after this time and a jitter, beside its wait for a record,
   * is sent again, and the earlier one goes on. Guards against a read that an outage or a dead
   * connection has swallowed; if unset, it is sent again when it has failed, or when the
   * store has answered another call after an outage.
   */
  repeatAfterMs?: number;
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
/** Spreads the reads of nodes whose reads an outage swallows at the same moment. */
const REPEAT_JITTER = 0.25;
/**
 * The limit of the retry delay before the first successful read, while the node
 * may know no peer that has the records.
 */
const MAX_FIRST_RETRY_MS = 500;

type AttemptResult = 'ended' | 'failed';

/** Reads a topic until it is stopped. */
export class KeyedFollower {
  private readonly stopping = new AbortController();
  private readonly delay: InterruptibleDelay;
  private readonly interval: InterruptibleDelay;
  private lastAttempt: ReadAttempt | null = null;
  private isLastReadOk = false;
  /** Whether the last read got no response in time. */
  private isOverdue = false;
  private hasSnapshot = false;
  /** The era of the last snapshot; null before the first one. */
  private snapshotEra: number | null = null;
  private succeededAtMs = -Infinity;
  private lastSuccessStartedAtMs = -Infinity;
  private consecutiveFailures = 0;
  private lostAtMs = -Infinity;

  constructor(private readonly options: KeyedFollowerOptions) {
    this.delay = new InterruptibleDelay(options.clock);
    this.interval = new InterruptibleDelay(options.clock);
    options.topic.era.onRestored(() => this.reload());
    options.topic.contact.onReturned(() => this.readAfterOutage());
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
    this.lastAttempt?.abortWait();
  }

  /** Reads at once, also during the delay after a failed read. */
  readNow(reason: DelayEnd): void {
    this.refresh();
    this.delay.end(reason);
  }

  /** The store answers others; a read sent before may never be answered. */
  private readAfterOutage(): void {
    this.lastAttempt?.supersede();
    this.readNow('store-returned');
  }

  /** Reads a snapshot at once. */
  reload(): void {
    this.hasSnapshot = false;
    this.readNow('reload');
    this.interval.end('reload');
  }

  stop(): void {
    this.stopping.abort();
    this.refresh();
    this.delay.end('stop');
    this.interval.end('stop');
  }

  private async run(): Promise<void> {
    const {clock, minIntervalMs} = this.options;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const startedAtMs = clock.monotonicMs();
      if (this.shouldRead) await this.readOnce();
      if (signal.aborted) return;
      await this.interval.wait(
        startedAtMs + minIntervalMs - clock.monotonicMs(),
      );
    }
  }

  private get shouldRead(): boolean {
    return !this.hasSnapshot || (this.options.isNeeded?.() ?? true);
  }

  private get canReadIncrementally(): boolean {
    const {clock, snapshotAfterMs = Infinity} = this.options;
    const ageMs = clock.monotonicMs() - this.succeededAtMs;
    return this.hasSnapshot && ageMs <= snapshotAfterMs;
  }

  /** Includes the delay after a failure. */
  private async readOnce(): Promise<void> {
    const attempt = new ReadAttempt(this.options.clock, this.findWaitMs());
    this.lastAttempt = attempt;
    const {random, repeatAfterMs} = this.options;
    const reading = this.attemptRead(attempt);
    await attempt.waitWhileDue(
      repeatAfterMs && addJitter(random, repeatAfterMs, REPEAT_JITTER),
    );
    const result = attempt.isWithoutResponse ? 'overdue' : await reading;
    this.isOverdue = result === 'overdue';
    if (result !== 'failed' || this.stopping.signal.aborted) return;
    await this.delay.wait(
      addJitter(random, this.computeRetryDelayMs(), RETRY_JITTER),
    );
  }

  /**
   * The first read after a failure does not wait: its response would tell only later that
   * the store is back.
   */
  private findWaitMs(): number {
    const isSound = this.isLastReadOk && !this.isOverdue;
    return isSound && this.canReadIncrementally ? this.options.waitMs() : 0;
  }

  private async attemptRead(attempt: ReadAttempt): Promise<AttemptResult> {
    const {signal} = this.stopping;
    try {
      const {changes, kind} = this.canReadIncrementally
        ? await this.loadIncrement(attempt)
        : await this.loadSnapshot(attempt);
      if (signal.aborted) return 'ended';
      this.recordSuccess(attempt);
      if (changes.length > 0 || kind !== 'increment') {
        this.options.onChanges(changes, kind);
      }
      return 'ended';
    } catch (thrown) {
      if (signal.aborted || attempt.isAborted) return 'ended';
      this.recordFailure(attempt, toTypedError(thrown));
      return 'failed';
    } finally {
      attempt.end();
    }
  }

  private async loadSnapshot(attempt: ReadAttempt): Promise<KeyedRead> {
    const {topic, table} = this.options;
    const snapshot = await topic.readSnapshot(attempt.terms);
    const era = findEra(snapshot.endOffset);
    const isRestored = this.snapshotEra !== null && era > this.snapshotEra;
    this.snapshotEra = era;
    // The store may have come back from another copy meanwhile.
    this.hasSnapshot = era === topic.era.number;
    const changes = table.applySnapshot(snapshot);
    return {changes, kind: isRestored ? 'restored' : 'snapshot'};
  }

  private async loadIncrement(attempt: ReadAttempt): Promise<KeyedRead> {
    const {topic, table} = this.options;
    const fromOffset = table.endOffset;
    const outcome = await topic.readFrom(
      fromOffset,
      attempt.waitMs,
      attempt.terms,
    );
    if (outcome.status === 'expired') {
      this.hasSnapshot = false;
      return {changes: [], kind: 'increment'};
    }
    const {records, endOffset} = outcome;
    const changes = table.applyRecords(fromOffset, records, endOffset);
    return {changes, kind: 'increment'};
  }

  private computeRetryDelayMs(): number {
    const {retryDelayMs, maxRetryDelayMs} = this.options;
    const backoffMs = retryDelayMs * 2 ** (this.consecutiveFailures - 1);
    const limitMs = maxRetryDelayMs?.() ?? retryDelayMs;
    const hasNeverRead = this.succeededAtMs === -Infinity;
    const cappedMs = Math.min(backoffMs, Math.max(limitMs, retryDelayMs));
    return hasNeverRead ? Math.min(cappedMs, MAX_FIRST_RETRY_MS) : cappedMs;
  }

  private recordSuccess({startedAtMs}: ReadAttempt): void {
    const failedReads = this.consecutiveFailures;
    const nowMs = this.options.clock.monotonicMs();
    this.consecutiveFailures = 0;
    this.succeededAtMs = nowMs;
    if (this.hasSnapshot) {
      this.lastSuccessStartedAtMs = Math.max(
        this.lastSuccessStartedAtMs,
        startedAtMs,
      );
    }
    if (this.isLastReadOk) return;
    this.isLastReadOk = true;
    this.options.onRegained({
      lostForMs: failedReads > 0 ? nowMs - this.lostAtMs : null,
      failedReads,
      ...{delayMs: this.delay.lastMs, delayEnd: this.delay.lastEnd},
      readMs: nowMs - startedAtMs,
    });
  }

  /** A read that was sent again tells nothing once a later one has succeeded. */
  private recordFailure({startedAtMs}: ReadAttempt, error: TypedError): void {
    if (startedAtMs < this.lastSuccessStartedAtMs) return;
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
