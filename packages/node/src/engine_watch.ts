/** Lets a successor check an engine when a load is due. */
import {type Slot} from '@mimosatack/agreed-state';
import {type Clock, type Timer} from '@mimosatack/clock';
import {type EngineControl} from '@mimosatack/platform';
import {findNextCheckMs, checkForTakeover} from '@mimosatack/steward-orders';
import {type EngineState} from '@mimosatack/types';

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
/** Wait before an engine that did not answer is read again for a check that is due. */
const RETRY_READ_MS = 1_000;

/** Watches one engine for one successor under one claim. */
export class EngineWatch {
  private readonly knownSinceMs = new Map<string, number>();
  private unfinished = new Set<string>();
  /** When the engine was last read for a slot. */
  private readonly checkedAtMs = new Map<string, number>();
  private retryAtMs = -Infinity;
  private timer: Timer | null = null;
  private isReading = false;
  private isStopped = false;

  constructor(private readonly options: EngineWatchOptions) {}

  get epoch(): number {
    return this.options.epoch;
  }

  /**
   * Reads the current slots and schedules the next read of the engine.
   *
   * Guards against a due load that nobody orders: a check whose time has passed, since the
   * slot was read late, this process was interrupted or the engine did not answer, is made
   * as soon as possible.
   */
  scheduleRead(): void {
    if (this.isStopped || this.isReading) return;
    const {clock, rank} = this.options;
    const nowMs = clock.wallMs();
    const slots = this.options.listSlots();
    this.noteSlots(slots, nowMs);
    const checksMs = this.listKnownLongEnough(slots, nowMs).flatMap(
      slot => findNextCheckMs([slot], rank, this.findCheckedAtMs(slot)) ?? [],
    );
    this.timer?.cancel();
    this.timer = null;
    if (checksMs.length === 0) return;
    const delayMs = Math.max(Math.min(...checksMs), this.retryAtMs) - nowMs;
    if (delayMs <= 0) return void this.readAndJudge();
    this.timer = clock.setTimer(delayMs, () => void this.readAndJudge());
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
    const {clock, control} = this.options;
    const startedAtMs = clock.wallMs();
    this.isReading = true;
    const engine = await control.readState().catch(() => null);
    this.isReading = false;
    if (this.isStopped) return;
    if (engine && this.isNeglected(engine, startedAtMs)) {
      this.stop();
      return this.options.onNeglected();
    }
    if (!engine) this.retryAtMs = clock.wallMs() + RETRY_READ_MS;
    this.scheduleRead();
  }

  private isNeglected(engine: EngineState, startedAtMs: number): boolean {
    const nowMs = this.options.clock.wallMs();
    const slots = this.listKnownLongEnough(this.options.listSlots(), nowMs);
    const {shouldTakeOver, incomplete} = checkForTakeover({
      ...{slots, engine, nowMs, rank: this.options.rank},
      incompleteBefore: this.unfinished,
    });
    this.unfinished = incomplete;
    slots.forEach(({slotId}) => this.checkedAtMs.set(slotId, startedAtMs));
    return shouldTakeOver;
  }

  private findCheckedAtMs({slotId}: Slot): number {
    return this.checkedAtMs.get(slotId) ?? -Infinity;
  }

  private noteSlots(slots: readonly Slot[], nowMs: number): void {
    const ids = new Set(slots.map(slot => slot.slotId));
    [...this.knownSinceMs.keys()]
      .filter(slotId => !ids.has(slotId))
      .forEach(slotId => {
        this.knownSinceMs.delete(slotId);
        this.checkedAtMs.delete(slotId);
      });
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
