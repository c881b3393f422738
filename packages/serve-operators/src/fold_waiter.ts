/** Waits until what this node has folded meets a condition. */
import {type Clock} from '@mimosatack/clock';
import {type LogFollower} from '@mimosatack/follow-log';

/** Looks at conditions again after every append that is folded. */
export class FoldWaiter {
  private readonly checks = new Set<() => void>();

  constructor(
    private readonly clock: Clock,
    follower: LogFollower,
  ) {
    follower.onFold(() => this.checks.forEach(check => check()));
  }

  /** Whether the condition was met in time. */
  waitUntil(isMet: () => boolean, timeoutMs: number): Promise<boolean> {
    if (isMet()) return Promise.resolve(true);
    return new Promise(resolve => {
      const end = (wasMet: boolean) => {
        timer.cancel();
        this.checks.delete(check);
        resolve(wasMet);
      };
      const check = () => {
        if (isMet()) end(true);
      };
      const timer = this.clock.setTimer(timeoutMs, () => end(false));
      this.checks.add(check);
    });
  }
}
