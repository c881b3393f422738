/** A successor's look at an engine when a load is due. */
import {type Slot} from '@mimosatack/agreed-state';
import {type Clock, type Timer} from '@mimosatack/clock';
import {type EngineControl} from '@mimosatack/platform';
import {findNextWatchMs, watchEngine} from '@mimosatack/steward-orders';

/** What a watch is built from. */
export interface EngineWatchOptions {
  clock: Clock;
  control: EngineControl;
  epoch: number;
  /** 1 for the first successor. */
  rank: number;
  listSlots(): Slot[];
  /** Called once, when the holder leaves a due load undone. */
  onNeglected(): void;
}

/**
 * Guards against taking over from a holder that is well but has not folded a
 * slot yet, or waits for its next tick: a slot that was decided to be loaded
 * at once is watched only when it has been known for this long.
 */
const SETTLE_MS = 1_500;

/** Watches one engine on behalf of one successor, under one claim. */
export class EngineWatch {
  private readonly knownSinceMs = new Map<string, number>();
  private unfinished = new Set<string>();
  private timer: Timer | null = null;
  private isOver = false;

  constructor(private readonly options: EngineWatchOptions) {}

  get epoch(): number {
    return this.options.epoch;
  }

  /** Takes in the slots as they are now and sets the next look. */
  plan(): void {
    if (this.isOver) return;
    const nowMs = this.options.clock.wallMs();
    const slots = this.options.listSlots();
    this.noteKnown(slots, nowMs);
    const nextMs = findNextWatchMs(
      this.listSettled(slots, nowMs),
      this.options.rank,
      nowMs,
    );
    this.timer?.cancel();
    this.timer =
      nextMs === null
        ? null
        : this.options.clock.setTimer(nextMs - nowMs, () => void this.look());
  }

  stop(): void {
    this.isOver = true;
    this.timer?.cancel();
  }

  /** An engine that does not answer shows nothing; its holder finds it lost. */
  private async look(): Promise<void> {
    const engine = await this.options.control.readState().catch(() => null);
    if (this.isOver) return;
    const nowMs = this.options.clock.wallMs();
    const slots = this.listSettled(this.options.listSlots(), nowMs);
    if (engine) {
      const {isNeglected, unfinished} = watchEngine({
        slots,
        engine,
        rank: this.options.rank,
        nowMs,
        unfinishedBefore: this.unfinished,
      });
      this.unfinished = unfinished;
      if (isNeglected) {
        this.stop();
        return this.options.onNeglected();
      }
    }
    this.plan();
  }

  private noteKnown(slots: readonly Slot[], nowMs: number): void {
    const ids = new Set(slots.map(slot => slot.slotId));
    [...this.knownSinceMs.keys()]
      .filter(slotId => !ids.has(slotId))
      .forEach(slotId => this.knownSinceMs.delete(slotId));
    [...ids]
      .filter(slotId => !this.knownSinceMs.has(slotId))
      .forEach(slotId => this.knownSinceMs.set(slotId, nowMs));
  }

  private listSettled(slots: readonly Slot[], nowMs: number): Slot[] {
    return slots.filter(
      slot =>
        nowMs - (this.knownSinceMs.get(slot.slotId) ?? nowMs) >= SETTLE_MS,
    );
  }
}
