/** Counts of what became of callers' requests. */
import {type AdmissionGate} from '@mimosatack/admit-requests';
import {type ErrorKind} from '@mimosatack/errors';

/** The counts at one moment; they grow from the start of the process. */
export interface CallerCounts {
  answered: number;
  refused: Partial<Record<ErrorKind, number>>;
  retried: number;
  /** Requests whose caller had gone before the answer. */
  callerGone: number;
  /** Requests that found no replica where one was reported. */
  replicaGone: number;
  queued: number;
  inFlight: number;
}

/** Counts requests; graceful shutdown waits until none is in flight. */
export class CallerStats {
  private answered = 0;
  private retried = 0;
  private callerGone = 0;
  private replicaGone = 0;
  private open = 0;
  private readonly refused = new Map<ErrorKind, number>();

  constructor(private readonly gate: AdmissionGate) {}

  /** Requests that have no final answer yet. */
  inFlight(): number {
    return this.open;
  }

  noteBegun(): void {
    this.open += 1;
  }

  noteEnded(): void {
    this.open -= 1;
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
      inFlight: this.open,
    };
  }
}
