/** Lets a successor check an engine when a load is due. */
import {type Slot} from '@mimosatack/agreed-state';
import {type Clock, type Timer} from '@mimosatack/clock';
import {type EngineControl} from '@mimosatack/platform';
import {findNextCheckMs, checkForTakeover} from '@mimosatack/steward-orders';

export interface EngineWatchOptions {
  clock: Clock;
  control: EngineControl;
  epoch: number;
  /** 1 for the first successor. */
  rank: number;
  listSlots(): Slot[];
  /** Called once, when the holder has not carried out a due load. */
  onNeglected(): void;
}

/**
 * Guards against taking over from a healthy holder that has not yet read a slot
 * from the log or waits for its next tick. A slot is watched only after this
 * node has known it for this long.
 */
const MIN_KNOWN_MS = 1_500;

/** Watches one engine for one successor under one claim. */
export class EngineWatch {
  private readonly knownSinceMs = new Map<string, number>();
  private unfinished = new Set<string>();
  private timer: Timer | null = null;
  private isStopped = false;

  constructor(private readonly options: EngineWatchOptions) {}

  get epoch(): number {
    return this.options.epoch;
  }

  /** Reads the current slots and schedules the next read of the engine. */
  scheduleRead(): void {
    if (this.isStopped) return;
    const nowMs = this.options.clock.wallMs();
    const slots = this.options.listSlots();
    this.noteSlots(slots, nowMs);
    const nextMs = findNextCheckMs(
      this.listKnownLongEnough(slots, nowMs),
      this.options.rank,
      nowMs,
    );
    this.timer?.cancel();
    this.timer =
      nextMs === null
        ? null
        : this.options.clock.setTimer(
            nextMs - nowMs,
            () => void this.readAndJudge(),
          );
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /**
   * An engine that does not answer is ignored: its holder reports it
   * unreachable.
   */
  private async readAndJudge(): Promise<void> {
    const engine = await this.options.control.readState().catch(() => null);
    if (this.isStopped) return;
    const nowMs = this.options.clock.wallMs();
    const slots = this.listKnownLongEnough(this.options.listSlots(), nowMs);
    if (engine) {
      const {shouldTakeOver, incomplete} = checkForTakeover({
        slots,
        engine,
        rank: this.options.rank,
        nowMs,
        incompleteBefore: this.unfinished,
      });
      this.unfinished = incomplete;
      if (shouldTakeOver) {
        this.stop();
        return this.options.onNeglected();
      }
    }
    this.scheduleRead();
  }

  private noteSlots(slots: readonly Slot[], nowMs: number): void {
    const ids = new Set(slots.map(slot => slot.slotId));
    [...this.knownSinceMs.keys()]
      .filter(slotId => !ids.has(slotId))
      .forEach(slotId => this.knownSinceMs.delete(slotId));
    [...ids]
      .filter(slotId => !this.knownSinceMs.has(slotId))
      .forEach(slotId => this.knownSinceMs.set(slotId, nowMs));
  }

  private listKnownLongEnough(slots: readonly Slot[], nowMs: number): Slot[] {
    return slots.filter(
      slot =>
        nowMs - (this.knownSinceMs.get(slot.slotId) ?? nowMs) >= MIN_KNOWN_MS,
    );
  }
}
