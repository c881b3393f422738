/**
 * The audit trail: who changed what, when and why. Entries are derived from
 * the folded decisions and kept in a stream of their own, so they outlive the
 * decisions; docs/design/audit_trail.md says why.
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
import {type AuditQuery, NewestEntries} from './find_entries.js';
import {RecentEntries} from './recent_entries.js';

/** What the trail is told. */
export type AuditMessage = {type: 'store'} | {type: 'settle'} | {type: 'copy'};

/** What the trail needs of the node. */
export interface AuditTrailOptions {
  clock: Clock;
  log: LogService;
  incarnation: NodeIncarnation;
  /** Whether this node looks after the stream for all. */
  isResponsible(): boolean;
  /** How long an entry may be missing before the responsible node adds it. */
  settleGraceMs: number;
  copyAfterMs: number;
  keepMs: number;
}

/** One page of the trail, newest first. */
export interface AuditPage {
  items: AuditEntry[];
  nextBeforeSequence: number | null;
  /** False when the stream could not be read: only memory was searched. */
  isComplete: boolean;
  /** Why the page is not complete. */
  error: TypedError | null;
}

const MAX_RECENT_ENTRIES = 1_000;
const MAX_STORED_AT_ONCE = 64;

/** The task that keeps the audit stream, and answers questions about it. */
export class AuditTrail extends Task<AuditMessage> {
  private readonly stream: AuditStream;
  private readonly recorder = new ChangeRecorder();
  private readonly recent = new RecentEntries(MAX_RECENT_ENTRIES);
  private settledOffset = 0;

  constructor(
    private readonly options: AuditTrailOptions,
    onError: TaskErrorHandler,
  ) {
    super('audit-trail', onError);
    this.stream = new AuditStream(options.log);
  }

  /** How many changes are not known to stand in the stream yet. */
  get pendingCount(): number {
    return this.recent.listUnstored().length;
  }

  /** Takes over the contents of a state that was not folded here. */
  reset(state: AgreedState): void {
    this.recorder.reset(state);
  }

  /** Notes what was folded; called in the order of the fold. */
  note(folded: readonly FoldedRecord[]): void {
    const nowMs = this.options.clock.monotonicMs();
    const entries = this.recorder.record(folded);
    entries.forEach(entry => this.recent.add(entry, nowMs));
    if (entries.some(entry => this.isOwn(entry))) this.post({type: 'store'});
  }

  /** Searches memory and the stream; the stream is read page by page. */
  async find(query: AuditQuery): Promise<AuditPage> {
    const newest = new NewestEntries(query);
    newest.offer(this.recent.list());
    const error = await this.searchStream(newest);
    return {...newest.toPage(), isComplete: error === null, error};
  }

  /** Stores what this node still owes; called before it ends. */
  async flush(): Promise<void> {
    await this.handle({type: 'store'});
  }

  /**
   * An outage of the log is told by its follower and needs no word here: what
   * could not be stored stays unstored, and the next message tries again.
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
    newest: NewestEntries,
  ): Promise<TypedError | null> {
    try {
      for await (const segment of this.stream.scan(0)) {
        newest.offer(segment.entries);
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
   * Appends entries that are not known to be stored. A lost answer leaves
   * them unstored, so they are appended again; readers drop the second copy.
   */
  private async store(isWanted: (entry: AuditEntry) => boolean): Promise<void> {
    const entries = this.recent
      .listUnstored()
      .map(({entry}) => entry)
      .filter(isWanted)
      .slice(0, MAX_STORED_AT_ONCE);
    if (entries.length === 0) return;
    await this.stream.append({
      appendedAtMs: this.options.clock.wallMs(),
      copiedFrom: [],
      entries,
    });
    this.recent.markStored(entries);
  }

  /**
   * Guards against an author that died between the change and its entry: the
   * change would be in force without a trace. The responsible node reads what
   * the stream holds and adds what has been missing for longer than the grace.
   */
  private async settle(): Promise<void> {
    await this.store(entry => this.isOwn(entry));
    if (!this.options.isResponsible()) return;
    for await (const segment of this.stream.scan(this.settledOffset)) {
      this.recent.markStored(segment.entries);
      this.settledOffset = segment.offset + 1;
    }
    const oldestMs =
      this.options.clock.monotonicMs() - this.options.settleGraceMs;
    const missing = new Set(
      this.recent
        .listUnstored()
        .filter(({notedAtMs}) => notedAtMs <= oldestMs)
        .map(({entry}) => entry.sequence),
    );
    await this.store(entry => missing.has(entry.sequence));
  }

  private async copy(): Promise<void> {
    if (!this.options.isResponsible()) return;
    const {clock, copyAfterMs, keepMs} = this.options;
    await copyForward(this.stream, {
      nowMs: clock.wallMs(),
      copyAfterMs,
      keepMs,
    });
  }
}
