import {type Clock, type Timer} from './clock.js';

interface PendingTimer {
  dueMs: number;
  order: number;
  callback: () => void;
}

/** A clock that tests and benchmarks advance explicitly. */
export class ManualClock implements Clock {
  private elapsedMs = 0;
  private nextOrder = 0;
  private pending: PendingTimer[] = [];

  /** @param startWallMs the initial wall-clock time. */
  constructor(private startWallMs = 0) {}

  wallMs(): number {
    return this.startWallMs + this.elapsedMs;
  }

  monotonicMs(): number {
    return this.elapsedMs;
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const timer: PendingTimer = {
      dueMs: this.elapsedMs + Math.max(0, delayMs),
      order: this.nextOrder++,
      callback,
    };
    this.pending.push(timer);
    return {
      cancel: () => {
        this.pending = this.pending.filter(other => other !== timer);
      },
    };
  }

  /** Simulates a suspended host: only the wall clock advances. */
  suspend(deltaMs: number): void {
    this.startWallMs += deltaMs;
  }

  /** Advances both times by `deltaMs` and fires due timers in order. */
  advance(deltaMs: number): void {
    const targetMs = this.elapsedMs + deltaMs;
    let next = this.takeNextDue(targetMs);
    while (next) {
      this.elapsedMs = Math.max(this.elapsedMs, next.dueMs);
      next.callback();
      next = this.takeNextDue(targetMs);
    }
    this.elapsedMs = targetMs;
  }

  /** The monotonic time of the next timer; undefined if none is pending. */
  nextTimerMs(): number | undefined {
    return this.pending.length === 0
      ? undefined
      : Math.min(...this.pending.map(timer => timer.dueMs));
  }

  private takeNextDue(targetMs: number): PendingTimer | undefined {
    const next = this.pending
      .filter(timer => timer.dueMs <= targetMs)
      .reduce<PendingTimer | undefined>(
        (best, timer) => (best && firesBefore(best, timer) ? best : timer),
        undefined,
      );
    if (next) this.pending = this.pending.filter(timer => timer !== next);
    return next;
  }
}

function firesBefore(a: PendingTimer, b: PendingTimer): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);
}
