/** One partition of the claims: its reader, its writer and waiting requests. */
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
  type KeyStatus,
  createLogUnavailableError,
  createDeadlineError,
  resolveKeyStatus,
} from './key_status.js';
import {
  ClaimWriter,
  type PartitionContext,
  type WriterCounters,
} from './claim_writer.js';
import {PendingClaims} from './pending_claims.js';

/** Dependencies that a node provides to its partitions. */
export interface ClaimPartitionContext extends PartitionContext {
  /** Whether a process may still be running; the result can be out of date. */
  isAlive(incarnation: string): boolean;
  /** Returns a number that is unique in this process. */
  takeClaimNumber(): number;
}

/** Statistics of a partition. */
export interface PartitionStatus {
  keys: number;
  nextOffset: number;
  /** Number of appends read from the stream. */
  foldedAppends: number;
  isReady: boolean;
  isFailing: boolean;
  counters: Readonly<WriterCounters>;
}

/** Interval at which a waiting request checks that the claimant is alive. */
const LIVENESS_CHECK_INTERVAL_MS = 250;
const MIN_RETRY_AFTER_MS = 2_000;
const MAX_RETRY_AFTER_MS = 6_000;

/** Claims the keys of one partition. */
export class ClaimPartition {
  private readonly stopping = new AbortController();
  private readonly reader: ClaimReader;
  private readonly writer: ClaimWriter;
  private readonly pending: PendingClaims;
  /** Keys whose release by this process has not been read back. */
  private readonly pendingReleases = new Set<string>();
  private readonly changeWaiters = new Set<() => void>();
  private readonly readLoop: Promise<void>;
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
      onFolded: folded => this.handleFolded(folded),
      onRestart: () => this.abandonPending(),
    });
    this.readLoop = this.reader.run();
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

  /** Whether the partition had no recent claims and has no pending work. */
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
   * Claims the key or returns its outcome. Waits while another live process
   * holds the claim. Rejects with `log-unavailable` when the log fails.
   *
   * Guards against running a request after a `not-run` response: when another
   * node releases a key that this request waited for, the caller may already
   * have that response, so the request returns `released` and does not claim.
   */
  async claim(
    request: ClaimRequest,
    expiresAtMs: number,
  ): Promise<ClaimResult> {
    this.lastUsedMs = this.context.clock.monotonicMs();
    let hasSeenOtherClaim = false;
    for (;;) {
      const keyStatus = this.findKeyStatus(request);
      if (keyStatus && isFinal(keyStatus)) return keyStatus;
      this.throwIfFailing();
      if (this.msUntil(expiresAtMs) <= 0) throw createDeadlineError(keyStatus);
      if (keyStatus?.status === 'free') {
        if (hasSeenOtherClaim) return {status: 'released'};
        const grant = await this.append(
          request,
          keyStatus.attempt,
          expiresAtMs,
        );
        if (grant) return {status: 'granted', grant};
        hasSeenOtherClaim ||= this.isClaimedByOther(request);
        continue;
      }
      if (keyStatus && !this.canStillChange(keyStatus.author, request)) {
        return {status: 'orphaned'};
      }
      hasSeenOtherClaim ||=
        keyStatus !== null && !this.isOwnIncarnation(keyStatus.author);
      await this.waitForChange(expiresAtMs);
    }
  }

  /** Releases the key; no request was or will be dispatched under the grant. */
  release(grant: ClaimRecord): void {
    this.pendingReleases.add(grant.keyHash);
    this.push({...grant, type: 'release'});
  }

  recordRan(grant: ClaimRecord, answer: KeptAnswer | null): void {
    const {maxAnswerBytes} = this.context.options;
    const fits = answer !== null && answer.body.length <= maxAnswerBytes;
    this.pushOutcome(grant, 'ran', fits ? answer : null);
  }

  recordUnknown(grant: ClaimRecord): void {
    this.pushOutcome(grant, 'unknown', null);
  }

  /** Appends a heartbeat when the stream had no append for the interval. */
  heartbeatIfIdle(): void {
    const {fold} = this.reader;
    if (!fold || !this.writer.isIdle) return;
    const {clock, options} = this.context;
    const sinceAppendMs = clock.wallMs() - (fold.lastWrittenAtMs ?? 0);
    if (sinceAppendMs >= options.markIntervalMs) this.writer.requestHeartbeat();
  }

  /** Flushes queued records for up to `flushMs`, then stops. */
  async stop(flushMs: number): Promise<void> {
    await this.writer.flush(flushMs);
    this.stopping.abort();
    this.abandonPending();
    await Promise.all([this.readLoop, this.writer.whenStopped()]);
  }

  private get isFailing(): boolean {
    return this.reader.isFailing || this.writer.isFailing;
  }

  /** Whether the last claim of the key, in any state, is by another process. */
  private isClaimedByOther(request: ClaimRequest): boolean {
    const entry = this.reader.fold?.find(request);
    return entry !== undefined && !this.isOwnIncarnation(entry.author);
  }

  private findKeyStatus(request: ClaimRequest): KeyStatus | null {
    const {fold} = this.reader;
    return fold && resolveKeyStatus(fold.find(request), request, fold.floorMs);
  }

  /**
   * Whether the claim may still change state. A claim by this process changes
   * only if its release is on the way to the log.
   */
  private canStillChange(author: string, {keyHash}: ClaimRequest): boolean {
    return this.isOwnIncarnation(author)
      ? this.pendingReleases.has(keyHash)
      : this.context.isAlive(author);
  }

  private isOwnIncarnation(author: string): boolean {
    return author === this.context.incarnation;
  }

  private throwIfFailing(): void {
    if (this.isFailing) throw this.createUnavailableError();
  }

  private createUnavailableError() {
    return createLogUnavailableError(
      this.context.random.nextInt(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
    );
  }

  /** Resolves with null when the claim is not granted. */
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
    const waitMs = Math.min(claimTimeoutMs, this.msUntil(expiresAtMs));
    const verdict = await this.pending.append(record, waitMs);
    if (verdict === null) throw this.createUnavailableError();
    return verdict === 'granted' ? record : null;
  }

  private abandonPending(): void {
    this.pending.abandonAll();
    this.wakeWaiters();
  }

  private handleFolded(folded: readonly FoldedClaim[]): void {
    folded
      .filter(({author}) => author === this.context.incarnation)
      .forEach(claim => this.settleOwn(claim));
    this.wakeWaiters();
  }

  private settleOwn({record, verdict}: FoldedClaim): void {
    if (record.type === 'release') this.pendingReleases.delete(record.keyHash);
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
      isNeeded: () => true,
      onSend: () => undefined,
    });
  }

  private waitForChange(expiresAtMs: number): Promise<void> {
    const waitMs = Math.min(
      LIVENESS_CHECK_INTERVAL_MS,
      this.msUntil(expiresAtMs),
    );
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

  private msUntil(expiresAtMs: number): number {
    return expiresAtMs - this.context.clock.monotonicMs();
  }
}

function isFinal(
  keyStatus: KeyStatus,
): keyStatus is Extract<KeyStatus, {status: 'ran' | 'key-reused' | 'unknown'}> {
  return keyStatus.status !== 'free' && keyStatus.status !== 'running';
}
