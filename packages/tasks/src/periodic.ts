import {type Clock, type Timer} from '@mimosatack/clock';

/** Handle of an action that runs periodically until stopped. */
export interface PeriodicTimer {
  stop(): void;
}

/**
 * Calls `action` repeatedly, `intervalMs` after the previous call ended, so
 * that calls do not overlap. Errors of `action` are ignored.
 */
export function startPeriodic(
  clock: Clock,
  intervalMs: number,
  action: () => void | Promise<void>,
): PeriodicTimer {
  let timer: Timer | null = null;
  let isStopped = false;
  const schedule = () => {
    if (isStopped) return;
    timer = clock.setTimer(intervalMs, () => {
      void Promise.resolve()
        .then(action)
        .catch(() => undefined)
        .then(schedule);
    });
  };
  schedule();
  return {
    stop: () => {
      isStopped = true;
      timer?.cancel();
    },
  };
}
