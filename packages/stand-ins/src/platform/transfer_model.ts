/** How long transfers from a rate-limited weight store take. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {type WeightStoreLimits} from '@mimosatack/platform';

/** Work left that is no more than rounding of the clock. */
const ROUNDING_MS = 1e-6;

/** A transfer that is going on. */
export interface Transfer {
  /** Gives the transfer up; its share goes to the others. */
  cancel(): void;
}

interface ActiveTransfer {
  /** How long it would still take at full speed. */
  remainingMs: number;
  onDone: () => void;
}

/**
 * Shares the bandwidth of the store evenly among the transfers under way
 * (processor sharing). Up to `fullSpeedLoads` run at full speed, which is
 * `fullSpeedLoads / loadsPerSecond` seconds for a transfer of size 1; with
 * more of them each is slower, so that `loadsPerSecond` is never exceeded.
 */
export class TransferModel {
  private active: ActiveTransfer[] = [];
  private slowdownFactor = 1;
  private settledMs: number;
  private timer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly limits: WeightStoreLimits,
  ) {
    this.settledMs = clock.monotonicMs();
  }

  get activeTransfers(): number {
    return this.active.length;
  }

  /**
   * Starts a transfer.
   *
   * @param sizeFactor size in units of a usual load.
   * @param onDone called once when the transfer is complete.
   */
  start(sizeFactor: number, onDone: () => void): Transfer {
    const {fullSpeedLoads, loadsPerSecond} = this.limits;
    const remainingMs = (sizeFactor * 1000 * fullSpeedLoads) / loadsPerSecond;
    const transfer = {remainingMs, onDone};
    this.change(() => this.active.push(transfer));
    return {cancel: () => this.change(() => this.drop(transfer))};
  }

  /** Makes all transfers slower from now on; 1 is the usual speed. */
  setSlowdown(factor: number): void {
    this.change(() => (this.slowdownFactor = Math.max(1, factor)));
  }

  /** Settles what went on at the old speed before anything changes. */
  private change(apply: () => void): void {
    this.settle();
    apply();
    this.setNextTimer();
  }

  private settle(): void {
    const nowMs = this.clock.monotonicMs();
    const workMs = (nowMs - this.settledMs) * this.speed();
    this.settledMs = nowMs;
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
    this.settle();
    const done = this.active.filter(each => each.remainingMs <= ROUNDING_MS);
    done.forEach(transfer => this.drop(transfer));
    this.setNextTimer();
    done.forEach(transfer => transfer.onDone());
  }

  private drop(transfer: ActiveTransfer): void {
    this.active = this.active.filter(other => other !== transfer);
  }
}
