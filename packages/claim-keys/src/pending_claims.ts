/** Claims of this node that wait to be read back. */
import {type Clock} from '@mimosatack/clock';
import {type FoldVerdict} from './claim_fold.js';
import {type ClaimRecord} from './claim_records.js';
import {type OutgoingRecord} from './claim_writer.js';

interface PendingClaim {
  record: ClaimRecord;
  wasSent: boolean;
  /** Null when it is given up. */
  settle(verdict: FoldVerdict | null): void;
}

/** Appends claims and tells their authors what became of them. */
export class PendingClaims {
  private readonly pending = new Map<number, PendingClaim>();

  /**
   * @param push appends a record.
   * @param release takes back a claim that may still arrive.
   */
  constructor(
    private readonly clock: Clock,
    private readonly push: (outgoing: OutgoingRecord) => void,
    private readonly release: (record: ClaimRecord) => void,
  ) {}

  get size(): number {
    return this.pending.size;
  }

  /** Resolves with the verdict, or with null when it does not come in time. */
  append(record: ClaimRecord, waitMs: number): Promise<FoldVerdict | null> {
    return new Promise(resolve => {
      const timer = this.clock.setTimer(waitMs, () =>
        this.giveUp(record.claimNumber),
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
        isWanted: () => this.pending.has(record.claimNumber),
        noteSent: () => {
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

  giveUpAll(): void {
    [...this.pending.keys()].forEach(number => this.giveUp(number));
  }

  /**
   * Guards against a key that nobody holds and nobody can have: a claim that
   * was given up may be granted when it arrives, so it is released.
   */
  private giveUp(claimNumber: number): void {
    const claim = this.pending.get(claimNumber);
    if (!claim) return;
    this.pending.delete(claimNumber);
    if (claim.wasSent) this.release(claim.record);
    claim.settle(null);
  }
}
