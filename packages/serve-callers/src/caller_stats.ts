/** Counts the outcomes of callers' requests. */
import {type AdmissionGate} from '@mimosatack/admit-requests';
import {type ErrorKind} from '@mimosatack/errors';

/** A snapshot of the counts since the process started. */
export interface CallerCounts {
  answered: number;
  refused: Partial<Record<ErrorKind, number>>;
  retried: number;
  /** Requests whose caller disconnected or stalled before the end. */
  callerGone: number;
  /** Attempts at a backend server whose reported replica was not loaded. */
  replicaGone: number;
  queued: number;
  inFlight: number;
}

export class CallerStats {
  private answered = 0;
  private retried = 0;
  private callerGone = 0;
  private replicaGone = 0;
  private inFlightCount = 0;
  private readonly refused = new Map<ErrorKind, number>();

  constructor(private readonly gate: AdmissionGate) {}

  /** The number of requests without a final answer. */
  inFlight(): number {
    return this.inFlightCount;
  }

  noteStarted(): void {
    this.inFlightCount += 1;
  }

  noteEnded(): void {
    this.inFlightCount -= 1;
  }

  noteAnswered(): void {
    this.answered += 1;
  }

  noteRefused(kind: ErrorKind): void {
    this.refused.set(kind, (this.refused.get(kind) ?? 0) + 1);
  }

  noteRetried(): void {
    this.retried += 1;
  }

  noteCallerGone(): void {
    this.callerGone += 1;
  }

  noteReplicaGone(): void {
    this.replicaGone += 1;
  }

  read(): CallerCounts {
    return {
      answered: this.answered,
      refused: Object.fromEntries(this.refused),
      retried: this.retried,
      callerGone: this.callerGone,
      replicaGone: this.replicaGone,
      queued: this.gate.queuedCount,
      inFlight: this.inFlightCount,
    };
  }
}
