/** Tracks this node's claims until they are read back from the log. */
import {type Clock} from '@mimosatack/clock';
import {type FoldVerdict} from './claim_fold.js';
import {type ClaimRecord} from './claim_records.js';
import {type OutgoingRecord} from './claim_writer.js';

interface PendingClaim {
  record: ClaimRecord;
  wasSent: boolean;
  /** Called with null when the wait for the verdict is abandoned. */
  settle(verdict: FoldVerdict | null): void;
}

/** Appends claims and resolves each with its verdict. */
export class PendingClaims {
  private readonly pending = new Map<number, PendingClaim>();

  /**
   * @param push queues a record for append.
   * @param release releases an abandoned claim that may still be appended.
   */
  constructor(
    private readonly clock: Clock,
    private readonly push: (outgoing: OutgoingRecord) => void,
    private readonly release: (record: ClaimRecord) => void,
  ) {}

  get size(): number {
    return this.pending.size;
  }

  /** Resolves with the verdict, or with null after `waitMs`. */
  append(record: ClaimRecord, waitMs: number): Promise<FoldVerdict | null> {
    return new Promise(resolve => {
      const timer = this.clock.setTimer(waitMs, () =>
        this.abandon(record.claimNumber),
      );
      const claim: PendingClaim = {
        record,
        wasSent: false,
        settle: verdict => {
          timer.cancel();
          resolve(verdict);
        },
      };
      this.pending.set(record.claimNumber, claim);
      this.push({
        record,
        isNeeded: () => this.pending.has(record.claimNumber),
        onSend: () => {
          claim.wasSent = true;
        },
      });
    });
  }

  settle({claimNumber}: ClaimRecord, verdict: FoldVerdict | null): void {
    const claim = this.pending.get(claimNumber);
    if (!claim) return;
    this.pending.delete(claimNumber);
    claim.settle(verdict);
  }

  abandonAll(): void {
    [...this.pending.keys()].forEach(number => this.abandon(number));
  }

  /**
   * Guards against a key blocked by an abandoned claim: the claim may still be
   * granted once its append takes effect, so the node releases it.
   */
  private abandon(claimNumber: number): void {
    const claim = this.pending.get(claimNumber);
    if (!claim) return;
    this.pending.delete(claimNumber);
    if (claim.wasSent) this.release(claim.record);
    claim.settle(null);
  }
}
