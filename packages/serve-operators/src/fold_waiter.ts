/** Waits until the folded state of this node meets a condition. */
import {type Clock} from '@mimosatack/clock';
import {type LogFollower} from '@mimosatack/follow-log';

/** Reevaluates pending conditions after each folded append. */
export class FoldWaiter {
  private readonly checks = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    follower: LogFollower,
  ) {
    follower.onFold(() => this.checks.forEach(check => check()));
  }

  /** Resolves with whether the condition was met before the timeout. */
  waitUntil(isMet: () => boolean, timeoutMs: number): Promise<boolean> {
    if (isMet()) return Promise.resolve(true);
    return new Promise(resolve => {
      const finish = (wasMet: boolean) => {
        timer.cancel();
        this.checks.delete(check);
        resolve(wasMet);
      };
      const check = () => {
        if (isMet()) finish(true);
      };
      const timer = this.clock.setTimer(timeoutMs, () => finish(false));
      this.checks.add(check);
    });
  }
}
