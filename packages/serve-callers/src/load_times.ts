/** How much longer loads take than planned, from what was seen. */
import {type Slot} from '@mimosatack/agreed-state';
import {type BackendReport} from '@mimosatack/engine-board';

const SMOOTHING = 0.3;
const INIT_MS = 300;
const MIN_RATIO = 0.5;
const MAX_RATIO = 50;
/** Slots whose load was counted already; the oldest are forgotten. */
const MAX_COUNTED = 10_000;
/** A load that is late is never expected sooner than this. */
const MIN_LEFT_MS = 250;

/** Corrects planned load times, such as while the weight store is slow. */
export class LoadTimes {
  private ratio = 1;
  private readonly counted = new Set<string>();

  /** Learns from the replicas that a report shows as warm. */
  noteReport(
    report: BackendReport,
    findSlot: (slotId: string) => Slot | undefined,
  ): void {
    report.engine?.replicas
      .filter(replica => replica.status === 'warm' && replica.loadMs > 0)
      .filter(replica => !this.counted.has(replica.slotId))
      .forEach(replica => {
        const slot = findSlot(replica.slotId);
        if (slot) this.noteLoad(slot, replica.loadMs);
      });
  }

  /** How long a load is expected to take from its beginning. */
  expectMs(storeMs: number): number {
    return (storeMs + INIT_MS) * this.ratio;
  }

  /**
   * How long until a slot's replica is warm. A load that is late already is
   * expected to take as long again as it is late.
   */
  expectLeftMs(slot: Slot, nowMs: number): number {
    const expectedMs = this.expectMs(slot.storeMs);
    const leftMs = slot.loadAtMs + expectedMs - nowMs;
    return leftMs > 0 ? leftMs : Math.max(MIN_LEFT_MS, -leftMs);
  }

  private noteLoad(slot: Slot, loadMs: number): void {
    this.counted.add(slot.slotId);
    if (this.counted.size > MAX_COUNTED) {
      const [oldest] = this.counted;
      if (oldest !== undefined) this.counted.delete(oldest);
    }
    const seen = loadMs / (slot.storeMs + INIT_MS);
    const bounded = Math.min(MAX_RATIO, Math.max(MIN_RATIO, seen));
    this.ratio += SMOOTHING * (bounded - this.ratio);
  }
}
