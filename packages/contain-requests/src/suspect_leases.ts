/** Leases under which one copy at a time of a suspected request may run. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {type Suspect} from '@mimosatack/types';

export interface LeaseTerms {
  /** How long the copy waits for the lease. */
  maxWaitMs: number;
  /** After this time the lease ends without a release. */
  maxHoldMs: number;
}

interface Waiter {
  runId: string;
  maxHoldMs: number;
  timer: Timer;
  settle: (isGranted: boolean) => void;
}

interface LeaseQueue {
  holderRunId: string;
  expiry: Timer;
  waiters: Waiter[];
}

/** Grants the lease on each request to one run, then to the next that waits. */
export class SuspectLeases {
  private readonly queues = new Map<Suspect, LeaseQueue>();

  constructor(private readonly clock: Clock) {}

  /** Resolves with false if the lease is not granted in time. */
  acquire(
    fingerprint: Suspect,
    runId: string,
    terms: LeaseTerms,
  ): Promise<boolean> {
    const queue = this.queues.get(fingerprint);
    if (!queue || queue.holderRunId === runId) {
      this.grant(fingerprint, runId, terms.maxHoldMs, queue?.waiters ?? []);
      return Promise.resolve(true);
    }
    return new Promise(resolve => {
      queue.waiters.push(this.makeWaiter(queue, runId, terms, resolve));
    });
  }

  /** Has no effect for a run that does not hold the lease or wait for it. */
  release(fingerprint: Suspect, runId: string): void {
    const queue = this.queues.get(fingerprint);
    if (!queue) return;
    if (queue.holderRunId === runId) return this.grantNext(fingerprint, queue);
    queue.waiters
      .filter(waiter => waiter.runId === runId)
      .forEach(waiter => this.settle(queue, waiter, false));
  }

  /** Settles all that wait: a request no longer needs a lease, or may not run. */
  settleAll(fingerprint: Suspect, isGranted: boolean): void {
    const queue = this.queues.get(fingerprint);
    if (!queue) return;
    queue.expiry.cancel();
    this.queues.delete(fingerprint);
    [...queue.waiters].forEach(waiter => this.settle(queue, waiter, isGranted));
  }

  private grant(
    fingerprint: Suspect,
    runId: string,
    maxHoldMs: number,
    waiters: Waiter[],
  ): void {
    this.queues.get(fingerprint)?.expiry.cancel();
    const expiry = this.clock.setTimer(maxHoldMs, () =>
      this.release(fingerprint, runId),
    );
    this.queues.set(fingerprint, {holderRunId: runId, expiry, waiters});
  }

  private grantNext(fingerprint: Suspect, queue: LeaseQueue): void {
    const [next] = queue.waiters;
    if (!next) {
      queue.expiry.cancel();
      this.queues.delete(fingerprint);
      return;
    }
    const {runId, maxHoldMs} = next;
    this.settle(queue, next, true);
    this.grant(fingerprint, runId, maxHoldMs, queue.waiters);
  }

  private makeWaiter(
    queue: LeaseQueue,
    runId: string,
    {maxWaitMs, maxHoldMs}: LeaseTerms,
    resolve: (isGranted: boolean) => void,
  ): Waiter {
    const waiter: Waiter = {
      ...{runId, maxHoldMs, settle: resolve},
      timer: this.clock.setTimer(maxWaitMs, () =>
        this.settle(queue, waiter, false),
      ),
    };
    return waiter;
  }

  private settle(
    {waiters}: LeaseQueue,
    waiter: Waiter,
    isGranted: boolean,
  ): void {
    waiter.timer.cancel();
    waiters.splice(waiters.indexOf(waiter), 1);
    waiter.settle(isGranted);
  }
}
