import {type Clock, type Timer} from '@mimosatack/clock';

/** Something that is done again and again until it is stopped. */
export interface Periodic {
  stop(): void;
}

/**
 * Calls `action` every `intervalMs`, counted from the end of the last call,
 * so that a slow call never overlaps with the next.
 */
export function startPeriodic(
  clock: Clock,
  intervalMs: number,
  action: () => void | Promise<void>,
): Periodic {
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
