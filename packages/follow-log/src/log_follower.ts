/**
 * Keeps this node's copy of the agreed state: reads the log, folds it, and
 * appends records in groups. An author learns the fate of its record only
 * when the record comes back, so a lost answer changes nothing.
 */
import {AgreedState, type FoldedRecord} from '@mimosatack/agreed-state';
import {type Clock, sleep} from '@mimosatack/clock';
import {toTypedError, type TypedError} from '@mimosatack/errors';
import {type LogRecord, type LogService} from '@mimosatack/platform';
import {type RandomSource, addJitter} from '@mimosatack/random';
import {encodeBatch, type RecordBody} from '@mimosatack/records';
import {type LogOffset, type NodeIncarnation} from '@mimosatack/types';
import {
  type SubmitOptions,
  type Submission,
  makeExpiryError,
} from './submission.js';

/** What a follower is built from. */
export interface LogFollowerOptions {
  clock: Clock;
  random: RandomSource;
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
  nextOffset: LogOffset;
  sequence: number;
  isLogReachable: boolean;
  lastContactMs: number | null;
}

/** Where appends and states come from when the log can't be read. */
export interface LogSource {
  /** Appends from `from` on, in order; empty when it has none. */
  pullAppends(from: LogOffset): Promise<LogRecord[]>;
  /** The newest state it can give, or null. */
  pullState(): Promise<AgreedState | null>;
}

const MAX_BATCH_RECORDS = 128;
const READ_LIMIT = 500;
const RETRY_JITTER = 0.5;
/** How many raw appends are kept for peers that can't read the log. */
const KEPT_APPENDS = 2000;

/** The task that owns the agreed state of this node. */
export class LogFollower {
  state = new AgreedState();
  private readonly outbox: Submission[] = [];
  private readonly pending = new Map<string, Submission>();
  private readonly listeners: FoldListener[] = [];
  private readonly kept: LogRecord[] = [];
  private readonly stopping = new AbortController();
  private recordCounter = 0;
  private isAppending = false;
  private isLogReachable = false;
  private lastContactMs: number | null = null;
  private reading: Promise<void> | null = null;

  constructor(private readonly options: LogFollowerOptions) {}

  get status(): FollowerStatus {
    return {
      nextOffset: this.state.nextOffset,
      sequence: this.state.sequence,
      isLogReachable: this.isLogReachable,
      lastContactMs: this.lastContactMs,
    };
  }

  onFold(listener: FoldListener): void {
    this.listeners.push(listener);
  }

  /** Begins to follow; returns once the state is as new as `source` gives. */
  async start(source: LogSource): Promise<void> {
    const state = await source.pullState();
    if (state && state.nextOffset > this.state.nextOffset) this.state = state;
    this.reading = this.readLoop(source);
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.reading;
    [...this.pending.values()].forEach(submission =>
      this.expire(submission.record.recordId),
    );
  }

  /**
   * Appends one record and resolves with its verdict once it is read back.
   * Rejects with `log-unavailable`; `run` says whether it may take effect.
   */
  submit(body: RecordBody, options: SubmitOptions): Promise<FoldedRecord> {
    return new Promise((resolve, reject) => {
      const recordId = `${this.options.incarnation}-${this.recordCounter++}`;
      const submission: Submission = {
        record: {
          recordId,
          author: this.options.incarnation,
          basisSequence: this.state.sequence,
          writtenAtMs: this.options.clock.wallMs(),
          operator: options.operator ?? null,
          reason: options.reason ?? null,
          body,
        },
        expiresAtMs: this.options.clock.monotonicMs() + options.timeoutMs,
        wasSent: false,
        resolve,
        reject,
      };
      this.pending.set(recordId, submission);
      this.outbox.push(submission);
      this.options.clock.setTimer(options.timeoutMs, () =>
        this.expire(recordId),
      );
      void this.appendLoop();
    });
  }

  /** Raw appends for a peer, from `from` on, if they are still kept. */
  listAppends(from: LogOffset, limit: number): LogRecord[] {
    return this.kept.filter(record => record.offset >= from).slice(0, limit);
  }

  /** Folds appends from any source; those folded before are passed over. */
  foldAppends(records: readonly LogRecord[]): void {
    records
      .filter(record => record.offset >= this.state.nextOffset)
      .forEach(record => this.foldAppend(record));
  }

  private foldAppend(record: LogRecord): void {
    if (record.offset !== this.state.nextOffset) return;
    const folded = this.state.foldAppend(record.offset, record.data);
    this.kept.push(record);
    if (this.kept.length > KEPT_APPENDS) this.kept.shift();
    this.listeners.forEach(listener => listener(folded));
    folded.forEach(one => this.settle(one));
  }

  /** A second copy of a record is void; only the first settles its author. */
  private settle(folded: FoldedRecord): void {
    if (folded.recordId === null) return;
    const submission = this.pending.get(folded.recordId);
    if (!submission) return;
    this.pending.delete(folded.recordId);
    submission.resolve(folded);
  }

  private expire(recordId: string): void {
    const submission = this.pending.get(recordId);
    if (!submission) return;
    this.pending.delete(recordId);
    submission.reject(makeExpiryError(submission));
  }

  /** One append at a time; what arrives meanwhile goes into the next one. */
  private async appendLoop(): Promise<void> {
    if (this.isAppending) return;
    this.isAppending = true;
    while (this.outbox.length > 0 && !this.stopping.signal.aborted) {
      const batch = this.takeBatch();
      if (batch.length > 0) await this.appendUntilSeen(batch);
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
   * same records, with the same ids, are appended again until they are read
   * back; the fold drops the second copy.
   */
  private async appendUntilSeen(batch: Submission[]): Promise<void> {
    let open = batch;
    while (open.length > 0 && !this.stopping.signal.aborted) {
      open.forEach(submission => {
        submission.wasSent = true;
      });
      const isDone = await this.tryAppend(open);
      if (isDone) return;
      await this.pause();
      open = open.filter(submission => this.isPending(submission));
    }
  }

  private async tryAppend(batch: readonly Submission[]): Promise<boolean> {
    const {log, stream} = this.options;
    try {
      await log.append(
        stream,
        encodeBatch(batch.map(submission => submission.record)),
      );
      return true;
    } catch {
      return false;
    }
  }

  private isPending(submission: Submission): boolean {
    return this.pending.has(submission.record.recordId);
  }

  private async readLoop(source: LogSource): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        await this.readOnce();
      } catch (thrown) {
        if (this.stopping.signal.aborted) return;
        await this.recover(toTypedError(thrown), source);
      }
    }
  }

  private async readOnce(): Promise<void> {
    const page = await this.options.log.read({
      stream: this.options.stream,
      from: this.state.nextOffset,
      limit: READ_LIMIT,
      waitMs: this.options.longPollMs,
      signal: this.stopping.signal,
    });
    this.isLogReachable = true;
    this.lastContactMs = this.options.clock.monotonicMs();
    this.foldAppends(page.records);
  }

  private async recover(error: TypedError, source: LogSource): Promise<void> {
    if (error.kind === 'trimmed') {
      await this.adoptNewerState(source);
    } else {
      this.isLogReachable = false;
      this.foldAppends(await source.pullAppends(this.state.nextOffset));
    }
    await this.pause();
  }

  /** The next append to fold is gone from the log; a state covers it. */
  private async adoptNewerState(source: LogSource): Promise<void> {
    const state = await source.pullState();
    if (!state || state.nextOffset <= this.state.nextOffset) return;
    this.state = state;
    this.kept.length = 0;
    this.listeners.forEach(listener => listener([]));
  }

  private pause(): Promise<void> {
    const {clock, random, retryDelayMs} = this.options;
    return sleep(
      clock,
      addJitter(random, retryDelayMs, RETRY_JITTER),
      this.stopping.signal,
    );
  }
}
