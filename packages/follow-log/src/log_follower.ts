/**
 * Maintains this node's copy of the agreed state by folding the log. Falls back
 * to peers when the log is unreachable, and to a checkpoint when the log has
 * trimmed the next record.
 */
import {
  AgreedState,
  type FoldedRecord,
  SUPPORTED_RULES_VERSION,
} from '@mimosatack/agreed-state';
import {type Clock, sleep} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type LogRecord, type LogService} from '@mimosatack/platform';
import {type RandomSource, addJitter} from '@mimosatack/random';
import {type RecordBody} from '@mimosatack/records';
import {type LogOffset, type NodeIncarnation} from '@mimosatack/types';
import {AppendBuffer} from './append_buffer.js';
import {AppendQueue} from './append_queue.js';
import {type SubmitOptions} from './submission.js';

export interface LogFollowerOptions {
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  log: LogService;
  stream: string;
  incarnation: NodeIncarnation;
  /** Maximum wait of a read at the end of the log. */
  longPollMs: number;
  retryDelayMs: number;
}

/** Called after each folded append, in log order. */
export type FoldListener = (folded: readonly FoldedRecord[]) => void;

/** The progress of a follower and its connection to the log. */
export interface FollowerStatus {
  /** Whether a state was read from the log, a checkpoint or a peer. */
  hasState: boolean;
  nextOffset: LogOffset;
  sequence: number;
  isLogReachable: boolean;
  /** Time since the last response of the log service; null before the first. */
  sinceContactMs: number | null;
}

/** A source of complete states, such as checkpoints or peers. */
export interface StateSource {
  /** Returns the newest state that the source has, or null. */
  pullState(): Promise<AgreedState | null>;
}

/** A source of appends when the log can't be read. */
export interface AppendSource {
  /** Returns the appends from `from` on, in order; empty when there are none. */
  pullAppends(from: LogOffset): Promise<LogRecord[]>;
}

/** The sources of a follower besides the log. */
export interface FollowerSources {
  states: readonly StateSource[];
  appends: AppendSource;
}

const READ_LIMIT = 500;
const RETRY_JITTER = 0.5;
const MAX_PULL_BYTES = 1024 * 1024;

/** The task that owns the agreed state of this node. */
export class LogFollower {
  state = new AgreedState();
  private readonly queue: AppendQueue;
  private readonly listeners: FoldListener[] = [];
  private readonly appendBuffer = new AppendBuffer();
  private readonly stopping = new AbortController();
  private sources: FollowerSources | null = null;
  private hasState = false;
  private isLogReachable = false;
  private lastContactAtMs: number | null = null;
  private isPullingFromPeers = false;
  private readLoopDone: Promise<void> | null = null;

  constructor(private readonly options: LogFollowerOptions) {
    this.queue = new AppendQueue(options);
  }

  get status(): FollowerStatus {
    const nowMs = this.options.clock.monotonicMs();
    return {
      hasState: this.hasState && this.state.isSupported,
      nextOffset: this.state.nextOffset,
      sequence: this.state.sequence,
      isLogReachable: this.isLogReachable,
      sinceContactMs:
        this.lastContactAtMs === null ? null : nowMs - this.lastContactAtMs,
    };
  }

  onFold(listener: FoldListener): void {
    this.listeners.push(listener);
  }

  /** Adopts the newest state of all sources, then starts reading the log. */
  async start(sources: FollowerSources): Promise<void> {
    this.sources = sources;
    await this.adoptNewestState();
    this.readLoopDone = this.readLoop();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    this.queue.stop();
    await this.readLoopDone;
  }

  /** See `AppendQueue.submit`. */
  submit(body: RecordBody, options: SubmitOptions): Promise<FoldedRecord> {
    return this.queue.submit(body, this.state.sequence, options);
  }

  /** Returns buffered raw appends from `from` on, for a peer. */
  listAppends(from: LogOffset): LogRecord[] {
    return this.appendBuffer.listFrom(from, MAX_PULL_BYTES);
  }

  /**
   * Handles the offset reported by a peer. Guards against a hanging read of the
   * log: when a peer is ahead, its appends are fetched right away.
   */
  handlePeerOffset(nextOffset: LogOffset): void {
    if (nextOffset <= this.state.nextOffset || this.isPullingFromPeers) return;
    this.isPullingFromPeers = true;
    void this.pullFromPeers().finally(() => {
      this.isPullingFromPeers = false;
    });
  }

  private async pullFromPeers(): Promise<void> {
    const before = this.state.nextOffset;
    await this.waitBeforeRetry();
    if (this.state.nextOffset > before || !this.sources) return;
    const appends = await this.sources.appends.pullAppends(before);
    this.foldAppends(appends);
    if (this.state.nextOffset === before) await this.adoptNewestState();
  }

  /** Folds appends from any source, skipping those already folded. */
  private foldAppends(records: readonly LogRecord[]): void {
    records.forEach(record => {
      if (record.offset === this.state.nextOffset) this.foldAppend(record);
    });
  }

  private foldAppend(record: LogRecord): void {
    const wasSupported = this.state.isSupported;
    const folded = this.state.foldAppend(record.offset, record.data);
    if (wasSupported && !this.state.isSupported) this.logUnsupported();
    if (!wasSupported) return;
    this.appendBuffer.add(record);
    this.notifyListeners(folded);
    folded.forEach(one => this.queue.settle(one));
    this.logVoid(folded);
  }

  private logUnsupported(): void {
    this.options.logger.log('rules-unsupported', {
      rulesVersion: this.state.rulesVersion,
      supportedVersion: SUPPORTED_RULES_VERSION,
    });
  }

  private logVoid(folded: readonly FoldedRecord[]): void {
    folded.forEach(({offset, recordId, outcome}) => {
      if (outcome.status === 'valid' || outcome.reason !== 'unreadable') return;
      this.options.logger.log('record-skipped', {
        stream: this.options.stream,
        offset,
        error: `${recordId ?? 'unnamed record'}: ${outcome.message}`,
      });
    });
  }

  private async readLoop(): Promise<void> {
    while (!this.stopping.signal.aborted && this.state.isSupported) {
      try {
        await this.readOnce();
      } catch (thrown) {
        if (this.stopping.signal.aborted) return;
        await this.recover(toTypedError(thrown));
      }
    }
  }

  private async readOnce(): Promise<void> {
    const {log, stream, longPollMs} = this.options;
    const page = await log.read({
      stream,
      from: this.state.nextOffset,
      limit: READ_LIMIT,
      // The first read after an outage returns immediately, to detect recovery.
      waitMs: this.isLogReachable ? longPollMs : 0,
      signal: this.stopping.signal,
    });
    this.recordContact();
    this.foldAppends(page.records);
    this.hasState ||= this.state.nextOffset >= page.nextOffset;
  }

  private recordContact(): void {
    const {clock, logger, stream} = this.options;
    if (!this.isLogReachable && this.lastContactAtMs !== null) {
      const outageMs = Math.round(clock.monotonicMs() - this.lastContactAtMs);
      logger.log('log-recovered', {stream, outageMs});
    }
    this.isLogReachable = true;
    this.lastContactAtMs = clock.monotonicMs();
  }

  private async recover(error: TypedError): Promise<void> {
    if (error.kind === 'trimmed') {
      this.recordContact();
      this.logTrimmed(error);
      await this.adoptNewestState();
    } else {
      this.recordOutage(error);
      await this.catchUpFromPeers();
    }
    await this.waitBeforeRetry();
  }

  private logTrimmed(error: TypedError): void {
    this.options.logger.log('stream-trimmed', {
      stream: this.options.stream,
      wantedOffset: this.state.nextOffset,
      firstOffset: Number(error.details.info?.['firstOffset'] ?? NaN),
    });
  }

  private recordOutage(error: TypedError): void {
    if (this.isLogReachable || this.lastContactAtMs === null) {
      const {logger, stream, retryDelayMs} = this.options;
      logger.log('log-unavailable', {stream, error, retryInMs: retryDelayMs});
      this.lastContactAtMs ??= this.options.clock.monotonicMs();
    }
    this.isLogReachable = false;
  }

  private async catchUpFromPeers(): Promise<void> {
    if (!this.hasState) await this.adoptNewestState();
    const {nextOffset} = this.state;
    this.foldAppends(
      (await this.sources?.appends.pullAppends(nextOffset)) ?? [],
    );
  }

  /**
   * Adopts the newest state of all sources if it is newer than the current one.
   * Guards against adopting an old checkpoint while a peer has a newer state.
   */
  private async adoptNewestState(): Promise<void> {
    const states = await Promise.all(
      (this.sources?.states ?? []).map(source =>
        source.pullState().catch(() => null),
      ),
    );
    const newest = states
      .filter(state => state !== null)
      .toSorted((a, b) => b.nextOffset - a.nextOffset)[0];
    if (!newest || newest.nextOffset <= this.state.nextOffset) return;
    this.state = newest;
    this.hasState = true;
    this.appendBuffer.clear();
    this.options.logger.log('checkpoint-loaded', {
      stream: this.options.stream,
      coversOffset: newest.nextOffset,
    });
    this.notifyListeners([]);
  }

  private notifyListeners(folded: readonly FoldedRecord[]): void {
    this.listeners.forEach(listener => listener(folded));
  }

  private waitBeforeRetry(): Promise<void> {
    const {clock, random, retryDelayMs} = this.options;
    const delayMs = addJitter(random, retryDelayMs, RETRY_JITTER);
    return sleep(clock, delayMs, this.stopping.signal);
  }
}
