/** Tracks whether the duty holder can be reached. */
import {type Clock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {type DutyHolder, type HolderContact} from '@mimosatack/hold-duty';

/** A holder counts as silent after this time without a heartbeat reply. */
const SILENT_AFTER_MS = 800;
/** How long a report that another node hears the holder stays valid. */
const PEER_REPORT_TTL_MS = 1_500;

/** Contact state of the current holder; reset when the holder changes. */
export class HolderContacts {
  private incarnation = '';
  private heardAtMs = -Infinity;
  private isGone = false;
  private hasEnded = false;
  private heardByOthersAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  find(holder: DutyHolder): HolderContact {
    this.switchTo(holder);
    if (this.hasEnded) return 'ended';
    if (this.isGone) return 'gone';
    return this.sinceContactMs(holder) < SILENT_AFTER_MS ? 'alive' : 'silent';
  }

  sinceContactMs(holder: DutyHolder): number {
    this.switchTo(holder);
    return this.clock.monotonicMs() - this.heardAtMs;
  }

  get isReachedByOthers(): boolean {
    return (
      this.clock.monotonicMs() - this.heardByOthersAtMs < PEER_REPORT_TTL_MS
    );
  }

  noteHeard(holder: DutyHolder): void {
    this.switchTo(holder);
    this.heardAtMs = this.clock.monotonicMs();
    this.isGone = false;
  }

  /**
   * Records that the holder's process has exited: it announced its exit, or
   * another process answers at its address.
   */
  noteEnded(holder: DutyHolder): void {
    this.switchTo(holder);
    this.hasEnded = true;
  }

  /** Records a failed request; a refused connection means no process listens. */
  noteFailure(holder: DutyHolder, error: TypedError): void {
    this.switchTo(holder);
    if (isRefused(error)) this.isGone = true;
  }

  notePeerReports(holder: DutyHolder, isHeard: boolean): void {
    this.switchTo(holder);
    if (isHeard) this.heardByOthersAtMs = this.clock.monotonicMs();
  }

  /** Resets the state for a new holder, which counts as alive at first. */
  private switchTo({incarnation}: DutyHolder): void {
    if (incarnation === this.incarnation) return;
    this.incarnation = incarnation;
    this.heardAtMs = this.clock.monotonicMs();
    this.isGone = false;
    this.hasEnded = false;
    this.heardByOthersAtMs = -Infinity;
  }
}

function isRefused(error: Error): boolean {
  const code = (error as {code?: unknown}).code;
  if (code === 'ECONNREFUSED') return true;
  const cause = (error as {details?: {cause?: unknown}}).details?.cause;
  return cause instanceof Error && isRefused(cause);
}
