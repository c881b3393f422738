/**
 * Keeps this node's copy of the agreed state: it reads the log and folds it.
 * A node that can't read the log follows through its peers, and one that fell
 * behind what the log keeps starts again from a checkpoint.
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
import {AppendQueue} from './append_queue.js';
import {KeptAppends} from './kept_appends.js';
import {type SubmitOptions} from './submission.js';

/** What a follower is built from. */
export interface LogFollowerOptions {
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  log: LogService;
  stream: string;
  incarnation: NodeIncarnation;
  /** How long one read waits at the end of the log. */
  longPollMs: number;
  retryDelayMs: number;
}

/** Told of every append that was folded, in order. */
export type FoldListener = (folded: readonly FoldedRecord[]) => void;

/** How far a node has got, and whether it reaches the log itself. */
export interface FollowerStatus {
  /** Whether the state was ever read from the log, a checkpoint or a peer. */
  hasState: boolean;
  nextOffset: LogOffset;
  sequence: number;
  isLogReachable: boolean;
  /** Time since the log service last answered; null when it never did. */
  sinceContactMs: number | null;
}

/** Where whole states come from. */
export interface StateSource {
  /** A state at least as new as any it knows, or null. */
  pullState(): Promise<AgreedState | null>;
}

/** Where appends come from when the log can't be read. */
export interface AppendSource {
  /** Appends from `from` on, in order; empty when it has none. */
  pullAppends(from: LogOffset): Promise<LogRecord[]>;
}

/** Everything beside the log itself that a follower can learn from. */
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
  private readonly kept = new KeptAppends();
  private readonly stopping = new AbortController();
  private sources: FollowerSources | null = null;
  private hasState = false;
  private isLogReachable = false;
  private contactAtMs: number | null = null;
  private isPulling = false;
  private reading: Promise<void> | null = null;

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
        this.contactAtMs === null ? null : nowMs - this.contactAtMs,
    };
  }

  onFold(listener: FoldListener): void {
    this.listeners.push(listener);
  }

  /** Begins to follow, from the newest state that any source gives. */
  async start(sources: FollowerSources): Promise<void> {
    this.sources = sources;
    await this.adoptNewestState();
    this.reading = this.readLoop();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    this.queue.stop();
    await this.reading;
  }

  /** See `AppendQueue.submit`. */
  submit(body: RecordBody, options: SubmitOptions): Promise<FoldedRecord> {
    return this.queue.submit(body, this.state.sequence, options);
  }

  /** Raw appends for a peer, from `from` on, if they are still kept. */
  listAppends(from: LogOffset): LogRecord[] {
    return this.kept.listFrom(from, MAX_PULL_BYTES);
  }

  /**
   * Told how far a peer has got. Guards against a node that is cut from the
   * log while its read only hangs: a peer that is ahead shows it, and the
   * appends are taken from there without waiting for the read to fail.
   */
  notePeerOffset(nextOffset: LogOffset): void {
    if (nextOffset <= this.state.nextOffset || this.isPulling) return;
    this.isPulling = true;
    void this.pullFromPeers().finally(() => {
      this.isPulling = false;
    });
  }

  private async pullFromPeers(): Promise<void> {
    const before = this.state.nextOffset;
    await this.pause();
    if (this.state.nextOffset > before || !this.sources) return;
    const appends = await this.sources.appends.pullAppends(before);
    this.foldAppends(appends);
    if (this.state.nextOffset === before) await this.adoptNewestState();
  }

  /** Folds appends from any source; those folded before are passed over. */
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
    this.kept.add(record);
    this.tellListeners(folded);
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
      // The first read after an outage returns at once, to show it is over.
      waitMs: this.isLogReachable ? longPollMs : 0,
      signal: this.stopping.signal,
    });
    this.noteContact();
    this.foldAppends(page.records);
    this.hasState ||= this.state.nextOffset >= page.nextOffset;
  }

  private noteContact(): void {
    const {clock, logger, stream} = this.options;
    if (!this.isLogReachable && this.contactAtMs !== null) {
      const outageMs = Math.round(clock.monotonicMs() - this.contactAtMs);
      logger.log('log-recovered', {stream, outageMs});
    }
    this.isLogReachable = true;
    this.contactAtMs = clock.monotonicMs();
  }

  private async recover(error: TypedError): Promise<void> {
    if (error.kind === 'trimmed') {
      this.noteContact();
      this.logTrimmed(error);
      await this.adoptNewestState();
    } else {
      this.noteOutage(error);
      await this.learnFromPeers();
    }
    await this.pause();
  }

  private logTrimmed(error: TypedError): void {
    this.options.logger.log('stream-trimmed', {
      stream: this.options.stream,
      wantedOffset: this.state.nextOffset,
      firstOffset: Number(error.details.info?.['firstOffset'] ?? NaN),
    });
  }

  private noteOutage(error: TypedError): void {
    if (this.isLogReachable || this.contactAtMs === null) {
      const {logger, stream, retryDelayMs} = this.options;
      logger.log('log-unavailable', {stream, error, retryInMs: retryDelayMs});
      this.contactAtMs ??= this.options.clock.monotonicMs();
    }
    this.isLogReachable = false;
  }

  private async learnFromPeers(): Promise<void> {
    if (!this.hasState) await this.adoptNewestState();
    const {nextOffset} = this.state;
    this.foldAppends(
      (await this.sources?.appends.pullAppends(nextOffset)) ?? [],
    );
  }

  /**
   * Takes the newest whole state there is. Guards against an old checkpoint
   * being served as the newest while the log is down: all sources are asked
   * and the highest offset wins, and `status` tells which offset that is.
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
    this.kept.clear();
    this.options.logger.log('checkpoint-loaded', {
      stream: this.options.stream,
      coversOffset: newest.nextOffset,
    });
    this.tellListeners([]);
  }

  private tellListeners(folded: readonly FoldedRecord[]): void {
    this.listeners.forEach(listener => listener(folded));
  }

  private pause(): Promise<void> {
    const {clock, random, retryDelayMs} = this.options;
    const delayMs = addJitter(random, retryDelayMs, RETRY_JITTER);
    return sleep(clock, delayMs, this.stopping.signal);
  }
}
