/** Estimates load times from the ratio of observed to planned ones. */
import {type Slot} from '@mimosatack/agreed-state';
import {type BackendReport} from '@mimosatack/engine-board';

const SMOOTHING_FACTOR = 0.3;
const INIT_MS = 300;
const MIN_RATIO = 0.5;
const MAX_RATIO = 50;
/** Bounds the set of slots whose load was counted; the oldest are evicted. */
const MAX_COUNTED_SLOTS = 10_000;
/** The minimum estimate for an overdue load. */
const MIN_REMAINING_MS = 250;

/** Corrects planned load times, for example while the weight store is slow. */
export class LoadTimeEstimator {
  private ratio = 1;
  private readonly countedSlotIds = new Set<string>();

  /** Updates the ratio from replicas that a report shows as warm. */
  noteReport(
    report: BackendReport,
    findSlot: (slotId: string) => Slot | undefined,
  ): void {
    report.engine?.replicas
      .filter(replica => replica.status === 'warm' && replica.loadMs > 0)
      .filter(replica => !this.countedSlotIds.has(replica.slotId))
      .forEach(replica => {
        const slot = findSlot(replica.slotId);
        if (slot) this.noteLoad(slot, replica.loadMs);
      });
  }

  /** The expected duration of a load. */
  estimateMs(storeMs: number): number {
    return (storeMs + INIT_MS) * this.ratio;
  }

  /**
   * The expected time until the slot's replica is warm. An overdue load is
   * expected to take as long again as it is overdue.
   */
  estimateRemainingMs(slot: Slot, nowMs: number): number {
    const expectedMs = this.estimateMs(slot.storeMs);
    const remainingMs = slot.loadAtMs + expectedMs - nowMs;
    return remainingMs > 0
      ? remainingMs
      : Math.max(MIN_REMAINING_MS, -remainingMs);
  }

  private noteLoad(slot: Slot, loadMs: number): void {
    this.countedSlotIds.add(slot.slotId);
    if (this.countedSlotIds.size > MAX_COUNTED_SLOTS) {
      const [oldest] = this.countedSlotIds;
      if (oldest !== undefined) this.countedSlotIds.delete(oldest);
    }
    const observedRatio = loadMs / (slot.storeMs + INIT_MS);
    const clampedRatio = Math.min(
      MAX_RATIO,
      Math.max(MIN_RATIO, observedRatio),
    );
    this.ratio += SMOOTHING_FACTOR * (clampedRatio - this.ratio);
  }
}
