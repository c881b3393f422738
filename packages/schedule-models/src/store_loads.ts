/** Loads from the weight store, which bears only so many. */
import {type BackendServerId, type ModelName} from '@mimosatack/types';

/** The time over which loads are counted. */
const WINDOW_MS = 5_000;
const MS_PER_SECOND = 1_000;
/**
 * Part of the store's rate that one holder uses: two holders one after the
 * other stay within it, though the second does not know the first one's loads.
 */
const USED_PART = 0.45;
/**
 * How many go at once before any has shown how fast it goes. Two tell whether
 * they slow each other; if they do, each costs its engine one more load time.
 */
const FIRST_AT_ONCE = 2;
/**
 * An engine tells what it holds with its next heartbeat, so that a load seems
 * longer by this at most.
 */
const TOLD_LATE_MS = 1_500;
/** A load that takes longer than this many load times has been lost. */
const LOST_AFTER_TIMES = 10;
/** Slower than this, others have slowed it. */
const SLOWED_FACTOR = 1.25;
/** More at once are tried again then: the store may have been slow by itself. */
const RETRY_MORE_MS = 600_000;

/** A load that goes on. */
interface RunningLoad {
  model: ModelName;
  beganAtMs: number;
  /** At full speed. */
  durationMs: number;
  /** The most that went on at once while it did, itself included. */
  alongside: number;
  /** The engine has named the model before the load can have ended. */
  isToldEarly: boolean;
}

/**
 * Keeps loads below the rate of the store, and learns how many it bears at once.
 *
 * Guards against loads that slow each other: where the store carries one at full
 * speed, four at once take four times as long, and all that time none of their
 * engines can swap for callers who wait. How many it carries is not configured.
 */
export class StoreLoads {
  private begunAtMs: number[] = [];
  private readonly running = new Map<BackendServerId, RunningLoad>();
  private atOnce = FIRST_AT_ONCE;
  /** So many have slowed each other. */
  private tooMany = Infinity;
  private tooManyAtMs = -Infinity;

  /** How many may go at once, as far as is known. */
  get mostAtOnce(): number {
    return this.atOnce;
  }

  mayBegin(perSecond: number, nowMs: number): boolean {
    this.forgetLost(nowMs);
    this.begunAtMs = this.begunAtMs.filter(atMs => atMs > nowMs - WINDOW_MS);
    const most = (perSecond * WINDOW_MS * USED_PART) / MS_PER_SECOND;
    const isWithinRate = this.begunAtMs.length + 1 <= most;
    return isWithinRate && this.running.size < this.atOnce;
  }

  /** @param durationMs how long the load takes at full speed. */
  noteBegun(
    engineId: BackendServerId,
    model: ModelName,
    durationMs: number,
    nowMs: number,
  ): void {
    this.begunAtMs.push(nowMs);
    this.running.delete(engineId);
    const alongside = this.running.size + 1;
    this.running.set(engineId, {
      ...{model, durationMs, alongside, beganAtMs: nowMs},
      isToldEarly: false,
    });
    this.running.forEach(load => {
      load.alongside = Math.max(load.alongside, alongside);
    });
  }

  /** An engine has told which models it holds. */
  noteHeld(
    engineId: BackendServerId,
    models: readonly ModelName[],
    nowMs: number,
  ): void {
    const load = this.running.get(engineId);
    if (!load || !models.includes(load.model)) return;
    if (nowMs - load.beganAtMs < load.durationMs) {
      load.isToldEarly = true;
      return;
    }
    this.running.delete(engineId);
    if (!load.isToldEarly) this.learn(load, nowMs);
  }

  /** The engine has left, or was refused the load. */
  noteEnded(engineId: BackendServerId): void {
    this.running.delete(engineId);
  }

  private learn(
    {beganAtMs, durationMs, alongside}: RunningLoad,
    nowMs: number,
  ): void {
    const tookMs = nowMs - beganAtMs;
    const factor = Math.max(1, (tookMs - TOLD_LATE_MS) / durationMs);
    if (factor > SLOWED_FACTOR) {
      const borne = Math.max(1, Math.floor(alongside / factor));
      this.atOnce = Math.min(this.atOnce, borne);
      this.tooMany = alongside;
      this.tooManyAtMs = nowMs;
    } else if (alongside >= this.atOnce && this.mayTryMore(nowMs)) {
      this.atOnce += 1;
    }
  }

  private mayTryMore(nowMs: number): boolean {
    const isLongAgo = nowMs - this.tooManyAtMs > RETRY_MORE_MS;
    return this.atOnce + 1 < this.tooMany || isLongAgo;
  }

  /**
   * Drops loads of which nothing more will be heard. One that was told of early
   * counts until it can have ended: some engines name a model that they load.
   */
  private forgetLost(nowMs: number): void {
    this.running.forEach(({beganAtMs, durationMs, isToldEarly}, engineId) => {
      const times = isToldEarly ? 1 : LOST_AFTER_TIMES;
      const isOver = nowMs - beganAtMs > times * durationMs;
      if (isOver) this.running.delete(engineId);
    });
  }
}
