/**
 * The audit trail: who changed what, when and why. Entries are derived from
 * the folded decisions and stored in a separate stream with longer retention.
 */
import {type AgreedState, type FoldedRecord} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type LogService} from '@mimosatack/platform';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';
import {type NodeIncarnation} from '@mimosatack/types';
import {type AuditEntry} from './audit_entry.js';
import {AuditStream} from './audit_stream.js';
import {ChangeRecorder} from './change_recorder.js';
import {copyForward} from './copy_forward.js';
import {type AuditQuery, NewestMatches} from './find_entries.js';
import {RecentEntries} from './recent_entries.js';

export type AuditMessage = {type: 'store'} | {type: 'settle'} | {type: 'copy'};

export interface AuditTrailOptions {
  clock: Clock;
  log: LogService;
  incarnation: NodeIncarnation;
  /** Whether this node maintains the stream on behalf of all nodes. */
  isResponsible(): boolean;
  /** Delay before the responsible node adds a missing entry. */
  missingEntryGraceMs: number;
  copyAfterMs: number;
  retentionMs: number;
}

/** One page of entries, newest first. */
export interface AuditPage {
  items: AuditEntry[];
  nextBeforeSequence: number | null;
  /** False when the stream could not be read and only memory was searched. */
  isComplete: boolean;
  /** The error that made the page incomplete; null for a complete page. */
  error: TypedError | null;
}

const MAX_RECENT_ENTRIES = 1_000;
const MAX_ENTRIES_PER_APPEND = 64;

/** The task that maintains the audit stream and answers queries. */
export class AuditTrail extends Task<AuditMessage> {
  private readonly stream: AuditStream;
  private readonly recorder = new ChangeRecorder();
  private readonly recent = new RecentEntries(MAX_RECENT_ENTRIES);
  private nextUnscannedOffset = 0;

  constructor(
    private readonly options: AuditTrailOptions,
    onError: TaskErrorHandler,
  ) {
    super('audit-trail', onError);
    this.stream = new AuditStream(options.log);
  }

  /** The number of entries not known to be stored in the stream. */
  get pendingCount(): number {
    return this.recent.listUnstored().length;
  }

  /** Initializes the current contents from a state adopted from elsewhere. */
  reset(state: AgreedState): void {
    this.recorder.reset(state);
  }

  /** Records folded changes; must be called in fold order. */
  recordChanges(folded: readonly FoldedRecord[]): void {
    const nowMs = this.options.clock.monotonicMs();
    const entries = this.recorder.record(folded);
    entries.forEach(entry => this.recent.add(entry, nowMs));
    if (entries.some(entry => this.isOwn(entry))) this.post({type: 'store'});
  }

  /** Searches the entries in memory and in the stream. */
  async find(query: AuditQuery): Promise<AuditPage> {
    const newest = new NewestMatches(query);
    newest.add(this.recent.list());
    const error = await this.searchStream(newest);
    return {...newest.toPage(), isComplete: error === null, error};
  }

  /** Stores this node's pending entries before shutdown. */
  async flush(): Promise<void> {
    await this.handle({type: 'store'});
  }

  /**
   * Ignores log outages, which the log follower reports. Unstored entries are
   * retried with the next message.
   */
  protected async handle(message: AuditMessage): Promise<void> {
    try {
      await this.handleOnce(message);
    } catch (thrown) {
      if (toTypedError(thrown).kind !== 'platform-unavailable') throw thrown;
    }
  }

  private handleOnce(message: AuditMessage): Promise<void> {
    switch (message.type) {
      case 'store':
        return this.store(entry => this.isOwn(entry));
      case 'settle':
        return this.settle();
      case 'copy':
        return this.copy();
    }
  }

  private async searchStream(
    newest: NewestMatches,
  ): Promise<TypedError | null> {
    try {
      for await (const segment of this.stream.scan(0)) {
        newest.add(segment.entries);
      }
      return null;
    } catch (thrown) {
      return toTypedError(thrown);
    }
  }

  private isOwn(entry: AuditEntry): boolean {
    return entry.author === this.options.incarnation;
  }

  /**
   * Appends entries that are not known to be stored. After a lost response
   * they are appended again; readers drop the duplicates.
   */
  private async store(isWanted: (entry: AuditEntry) => boolean): Promise<void> {
    const entries = this.recent
      .listUnstored()
      .map(({entry}) => entry)
      .filter(isWanted)
      .slice(0, MAX_ENTRIES_PER_APPEND);
    if (entries.length === 0) return;
    await this.stream.append({
      appendedAtMs: this.options.clock.wallMs(),
      copiedFrom: [],
      entries,
    });
    this.recent.markStored(entries);
  }

  /**
   * Guards against a missing entry when the author crashes before storing it:
   * the responsible node adds entries missing for longer than the grace period.
   */
  private async settle(): Promise<void> {
    await this.store(entry => this.isOwn(entry));
    if (!this.options.isResponsible()) return;
    for await (const segment of this.stream.scan(this.nextUnscannedOffset)) {
      this.recent.markStored(segment.entries);
      this.nextUnscannedOffset = segment.offset + 1;
    }
    const oldestMs =
      this.options.clock.monotonicMs() - this.options.missingEntryGraceMs;
    const missing = new Set(
      this.recent
        .listUnstored()
        .filter(({recordedAtMs}) => recordedAtMs <= oldestMs)
        .map(({entry}) => entry.sequence),
    );
    await this.store(entry => missing.has(entry.sequence));
  }

  private async copy(): Promise<void> {
    if (!this.options.isResponsible()) return;
    const {clock, copyAfterMs, retentionMs} = this.options;
    await copyForward(this.stream, {
      nowMs: clock.wallMs(),
      copyAfterMs,
      keepMs: retentionMs,
    });
  }
}
