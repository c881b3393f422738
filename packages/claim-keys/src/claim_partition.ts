/** One partition of the claims: its fold, its appends and who waits for them. */
import {type Timer} from '@mimosatack/clock';
import {type KeptAnswer} from '@mimosatack/unrepeatable';
import {type FoldedClaim} from './claim_fold.js';
import {ClaimReader} from './claim_reader.js';
import {
  type ClaimRecord,
  type ClaimStreamRecord,
  type OutcomeRecord,
} from './claim_records.js';
import {
  type ClaimRequest,
  type ClaimResult,
  type ClaimStanding,
  makeClaimUnavailable,
  makeTooLate,
  readStanding,
} from './claim_standing.js';
import {
  ClaimWriter,
  type PartitionContext,
  type WriterCounters,
} from './claim_writer.js';
import {PendingClaims} from './pending_claims.js';

/** What a partition needs of the node. */
export interface ClaimPartitionContext extends PartitionContext {
  /** Whether a process may still be running; a hint. */
  isAlive(incarnation: string): boolean;
  /**
   * Never gives a number twice in the life of the process, as the author and
   * the number together name a claim.
   */
  takeClaimNumber(): number;
}

/** Numbers that a partition tells of itself. */
export interface PartitionStatus {
  keys: number;
  nextOffset: number;
  /** How many appends of the stream were read. */
  foldedAppends: number;
  isReady: boolean;
  isFailing: boolean;
  counters: Readonly<WriterCounters>;
}

/** How often a claimer that others wait for is looked at again. */
const RECHECK_MS = 250;
const MIN_RETRY_AFTER_MS = 2_000;
const MAX_RETRY_AFTER_MS = 6_000;

/** The task that claims the keys of one partition. */
export class ClaimPartition {
  private readonly stopping = new AbortController();
  private readonly reader: ClaimReader;
  private readonly writer: ClaimWriter;
  private readonly pending: PendingClaims;
  /** Keys whose release by this node has not been read back. */
  private readonly releasing = new Set<string>();
  private readonly changeWaiters = new Set<() => void>();
  private readonly reading: Promise<void>;
  private lastUsedMs: number;

  constructor(private readonly context: ClaimPartitionContext) {
    this.lastUsedMs = context.clock.monotonicMs();
    this.writer = new ClaimWriter(context, this.stopping.signal);
    this.pending = new PendingClaims(
      context.clock,
      outgoing => this.writer.push(outgoing),
      record => this.release(record),
    );
    this.reader = new ClaimReader(context, this.stopping.signal, {
      onFolded: folded => this.noteFolded(folded),
      onRestart: () => this.giveUpAll(),
    });
    this.reading = this.reader.run();
  }

  get status(): PartitionStatus {
    return {
      keys: this.reader.fold?.size ?? 0,
      nextOffset: this.reader.fold?.nextOffset ?? 0,
      foldedAppends: this.reader.fold?.appendCount ?? 0,
      isReady: this.reader.fold !== null,
      isFailing: this.isFailing,
      counters: this.writer.counters,
    };
  }

  /** Whether nobody has asked for it lately and nothing waits. */
  get isUnused(): boolean {
    const {clock, options} = this.context;
    const unusedMs = clock.monotonicMs() - this.lastUsedMs;
    return (
      unusedMs >= options.idleMs &&
      this.writer.isIdle &&
      this.pending.size === 0
    );
  }

  /**
   * Claims the key, or finds out what became of it. Waits for a claimer that
   * is alive. Rejects with `log-unavailable` when nothing can be claimed.
   *
   * Guards against a `not-run` that comes untrue: a caller that tries two
   * nodes hears it from the one that claimed first and released; the other,
   * which waited, must not claim the key then and run it after all.
   */
  async claim(
    request: ClaimRequest,
    expiresAtMs: number,
  ): Promise<ClaimResult> {
    this.lastUsedMs = this.context.clock.monotonicMs();
    let hasSeenOther = false;
    for (;;) {
      const standing = this.findStanding(request);
      if (standing && isFinal(standing)) return standing;
      this.refuseIfFailing();
      if (this.remainingMs(expiresAtMs) <= 0) throw makeTooLate(standing);
      if (standing?.status === 'free') {
        if (hasSeenOther) return {status: 'released'};
        const grant = await this.append(request, standing.attempt, expiresAtMs);
        if (grant) return {status: 'granted', grant};
        hasSeenOther ||= this.isOthers(request);
        continue;
      }
      if (standing && !this.canWaitFor(standing.author, request)) {
        return {status: 'orphaned'};
      }
      hasSeenOther ||= standing !== null && !this.isOwn(standing.author);
      await this.waitForChange(expiresAtMs);
    }
  }

  /** Says that nothing was handed over under the grant, nor ever will be. */
  release(grant: ClaimRecord): void {
    this.releasing.add(grant.keyHash);
    this.push({...grant, type: 'release'});
  }

  noteRan(grant: ClaimRecord, answer: KeptAnswer | null): void {
    const {maxAnswerBytes} = this.context.options;
    const fits = answer !== null && answer.body.length <= maxAnswerBytes;
    this.pushOutcome(grant, 'ran', fits ? answer : null);
  }

  noteUnknown(grant: ClaimRecord): void {
    this.pushOutcome(grant, 'unknown', null);
  }

  /** Appends a mark of time when the stream has been quiet for long. */
  keepMarked(): void {
    const {fold} = this.reader;
    if (!fold || !this.writer.isIdle) return;
    const {clock, options} = this.context;
    const quietMs = clock.wallMs() - (fold.lastWrittenAtMs ?? 0);
    if (quietMs >= options.markIntervalMs) this.writer.mark();
  }

  /** Appends what waits, as far as there is time, then ends. */
  async stop(flushMs: number): Promise<void> {
    await this.writer.flush(flushMs);
    this.stopping.abort();
    this.giveUpAll();
    await Promise.all([this.reading, this.writer.whenStopped()]);
  }

  private get isFailing(): boolean {
    return this.reader.isFailing || this.writer.isFailing;
  }

  /** Whether the last claim of the key, whatever became of it, is another's. */
  private isOthers(request: ClaimRequest): boolean {
    const known = this.reader.fold?.find(request);
    return known !== undefined && !this.isOwn(known.author);
  }

  private findStanding(request: ClaimRequest): ClaimStanding | null {
    const {fold} = this.reader;
    return fold && readStanding(fold.find(request), request, fold.floorMs);
  }

  /**
   * A claim of this process that is not running here any more is either being
   * released, or nobody will ever tell what became of it.
   */
  private canWaitFor(author: string, {keyHash}: ClaimRequest): boolean {
    return this.isOwn(author)
      ? this.releasing.has(keyHash)
      : this.context.isAlive(author);
  }

  private isOwn(author: string): boolean {
    return author === this.context.incarnation;
  }

  private refuseIfFailing(): void {
    if (this.isFailing) throw this.makeUnavailable();
  }

  private makeUnavailable() {
    return makeClaimUnavailable(
      this.context.random.nextInt(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
    );
  }

  /** Null when another claim came first. */
  private async append(
    {keyHash, requestHash, issuedAtMs}: ClaimRequest,
    attempt: number,
    expiresAtMs: number,
  ): Promise<ClaimRecord | null> {
    const {claimTimeoutMs} = this.context.options;
    const record: ClaimRecord = {
      type: 'claim',
      keyHash,
      requestHash,
      issuedAtMs,
      attempt,
      claimNumber: this.context.takeClaimNumber(),
    };
    const waitMs = Math.min(claimTimeoutMs, this.remainingMs(expiresAtMs));
    const verdict = await this.pending.append(record, waitMs);
    if (verdict === null) throw this.makeUnavailable();
    return verdict === 'granted' ? record : null;
  }

  private giveUpAll(): void {
    this.pending.giveUpAll();
    this.wakeWaiters();
  }

  private noteFolded(folded: readonly FoldedClaim[]): void {
    folded
      .filter(({author}) => author === this.context.incarnation)
      .forEach(one => this.settleOwn(one));
    this.wakeWaiters();
  }

  private settleOwn({record, verdict}: FoldedClaim): void {
    if (record.type === 'release') this.releasing.delete(record.keyHash);
    if (record.type === 'claim') this.pending.settle(record, verdict);
  }

  private pushOutcome(
    grant: ClaimRecord,
    outcome: OutcomeRecord['outcome'],
    answer: KeptAnswer | null,
  ): void {
    this.push({...grant, type: 'outcome', outcome, answer});
  }

  private push(record: ClaimStreamRecord): void {
    this.writer.push({
      record,
      isWanted: () => true,
      noteSent: () => undefined,
    });
  }

  private waitForChange(expiresAtMs: number): Promise<void> {
    const waitMs = Math.min(RECHECK_MS, this.remainingMs(expiresAtMs));
    return new Promise(resolve => {
      const timer: Timer = this.context.clock.setTimer(waitMs, () => wake());
      const wake = () => {
        timer.cancel();
        this.changeWaiters.delete(wake);
        resolve();
      };
      this.changeWaiters.add(wake);
    });
  }

  private wakeWaiters(): void {
    [...this.changeWaiters].forEach(wake => wake());
  }

  private remainingMs(expiresAtMs: number): number {
    return expiresAtMs - this.context.clock.monotonicMs();
  }
}

function isFinal(
  standing: ClaimStanding,
): standing is Extract<
  ClaimStanding,
  {status: 'ran' | 'key-reused' | 'unknown'}
> {
  return standing.status !== 'free' && standing.status !== 'running';
}
