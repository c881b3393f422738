/** Models the duration of transfers from a rate-limited weight store. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {type WeightStoreLimits} from '@mimosatack/platform';

/** Remaining work below this is a rounding error, and the transfer is done. */
const ROUNDING_MS = 1e-6;

/** A transfer in progress. */
export interface Transfer {
  /** Cancels the transfer and frees its share of the bandwidth. */
  cancel(): void;
}

interface ActiveTransfer {
  /** The remaining time at full speed. */
  remainingMs: number;
  onDone: () => void;
}

/**
 * Shares the bandwidth of the store evenly among active transfers (processor
 * sharing). Up to `fullSpeedLoads` transfers run at full speed, at which a
 * transfer of size 1 takes `fullSpeedLoads / loadsPerSecond` seconds; more
 * transfers slow each other down, so that `loadsPerSecond` is not exceeded.
 */
export class TransferModel {
  private active: ActiveTransfer[] = [];
  private slowdownFactor = 1;
  private updatedMs: number;
  private timer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly limits: WeightStoreLimits,
  ) {
    this.updatedMs = clock.monotonicMs();
  }

  get activeTransfers(): number {
    return this.active.length;
  }

  /**
   * Starts a transfer.
   *
   * @param sizeFactor size in units of a standard load.
   * @param onDone called once when the transfer is complete.
   */
  start(sizeFactor: number, onDone: () => void): Transfer {
    const {fullSpeedLoads, loadsPerSecond} = this.limits;
    const remainingMs = (sizeFactor * 1000 * fullSpeedLoads) / loadsPerSecond;
    const transfer = {remainingMs, onDone};
    this.applyChange(() => this.active.push(transfer));
    return {cancel: () => this.applyChange(() => this.remove(transfer))};
  }

  /** Slows all transfers down by a factor, including active ones. */
  setSlowdown(factor: number): void {
    this.applyChange(() => (this.slowdownFactor = Math.max(1, factor)));
  }

  /** Accounts for progress at the old speed before the speed changes. */
  private applyChange(apply: () => void): void {
    this.updateRemaining();
    apply();
    this.setNextTimer();
  }

  private updateRemaining(): void {
    const nowMs = this.clock.monotonicMs();
    const workMs = (nowMs - this.updatedMs) * this.speed();
    this.updatedMs = nowMs;
    this.active.forEach(transfer => (transfer.remainingMs -= workMs));
  }

  private speed(): number {
    const share = this.limits.fullSpeedLoads / Math.max(1, this.active.length);
    return Math.min(1, share) / this.slowdownFactor;
  }

  private setNextTimer(): void {
    this.timer?.cancel();
    if (this.active.length === 0) return;
    const shortestMs = Math.min(...this.active.map(each => each.remainingMs));
    const delayMs = Math.max(0, shortestMs) / this.speed();
    this.timer = this.clock.setTimer(delayMs, () => this.finishDue());
  }

  private finishDue(): void {
    this.updateRemaining();
    const done = this.active.filter(each => each.remainingMs <= ROUNDING_MS);
    done.forEach(transfer => this.remove(transfer));
    this.setNextTimer();
    done.forEach(transfer => transfer.onDone());
  }

  private remove(transfer: ActiveTransfer): void {
    this.active = this.active.filter(other => other !== transfer);
  }
}
