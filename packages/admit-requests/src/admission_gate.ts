/**
 * Lets requests through to the backend servers: drives the decisions with a
 * clock and hands places out as they come free.
 */
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {
  AdmissionController,
  type AdmissionOptions,
} from './admission_controller.js';
import {CallerGone} from './caller_gone.js';
import {type AdmissionRequest, type Outlook, type Refusal} from './types.js';

/** Where a request could go; requests with one key share one queue. */
export interface Target<P> {
  key: string;
  /** What is known of the replicas. */
  findOutlook(): Outlook;
  /** Holds a place at a backend server, or null while there is none. */
  takePlace(): P | null;
}

/** The right to send one request to a backend server. */
export interface Permit<P> {
  place: P;
  waitedMs: number;
  /** Notes that the deadline was met: the answer, or its first byte, is here. */
  noteServed: () => void;
}

/** A request in a queue, with what is done when its turn comes. */
interface Waiter {
  request: AdmissionRequest;
  key: string;
  findOutlook(): Outlook;
  /**
   * Starts the request if there is a place, or gives it up if that is too
   * late; returns whether it has left the queue.
   */
  tryStart(): boolean;
  refuse(refusal: Refusal): void;
}

/** How often queued requests are looked at again while any wait. */
const REASSESS_MS = 100;

/** Puts requests through admission. */
export class AdmissionGate {
  private readonly controller: AdmissionController;
  private readonly waiters = new Map<string, Waiter>();
  /** Keys with a queue; the one served last is at the end. */
  private readonly waitingKeys = new Set<string>();
  private reassessing: Timer | null = null;
  private isPumping = false;
  private runningCount = 0;

  constructor(
    private readonly clock: Clock,
    options: AdmissionOptions,
  ) {
    this.controller = new AdmissionController(options);
  }

  get queuedCount(): number {
    return this.waiters.size;
  }

  get inFlightCount(): number {
    return this.runningCount + this.waiters.size;
  }

  /**
   * Waits for a place and calls `work` with it. Rejects with the kind of the
   * refusal and `run: 'not-run'`, or with `CallerGone` once `signal` is
   * aborted while the request is queued.
   */
  async run<P, T>(
    request: AdmissionRequest,
    target: Target<P>,
    work: (permit: Permit<P>) => Promise<T>,
    signal?: AbortSignal,
  ): Promise<T> {
    const place = await this.enter(request, target, signal);
    const startedAtMs = this.clock.monotonicMs();
    const elapsedMs = () => this.clock.monotonicMs() - startedAtMs;
    const noteServed = () =>
      this.controller.noteServed(
        target.key,
        request,
        elapsedMs(),
        this.clock.monotonicMs(),
      );
    const waitedMs = startedAtMs - request.arrivedAtMs;
    try {
      return await work({place, waitedMs, noteServed});
    } finally {
      this.runningCount -= 1;
      this.controller.noteEnded(target.key, request, elapsedMs());
      this.pump();
    }
  }

  /** Hands out what places there are; called whenever one may have come free. */
  pump(): void {
    if (this.isPumping) return;
    this.isPumping = true;
    try {
      while (this.startOne());
    } finally {
      this.isPumping = false;
    }
  }

  private enter<P>(
    request: AdmissionRequest,
    target: Target<P>,
    signal?: AbortSignal,
  ): Promise<P> {
    const {key} = target;
    let place: P | null = null;
    const takePlace = () => (place = target.takePlace()) !== null;
    const decision = this.controller.arrive(
      key,
      request,
      target.findOutlook(),
      takePlace,
      this.clock.monotonicMs(),
    );
    if (decision.status === 'refused') {
      return Promise.reject(toError(decision.refusal));
    }
    if (place !== null) {
      this.runningCount += 1;
      return Promise.resolve(place);
    }
    if (decision.status === 'queued' && decision.displaced) {
      const {request: displaced, refusal} = decision.displaced;
      this.waiters.get(displaced.requestId)?.refuse(refusal);
    }
    return this.wait(request, target, signal);
  }

  private wait<P>(
    request: AdmissionRequest,
    target: Target<P>,
    signal?: AbortSignal,
  ): Promise<P> {
    return new Promise((resolve, reject) => {
      const {key} = target;
      const leave = () => {
        this.waiters.delete(request.requestId);
        deadline.cancel();
        signal?.removeEventListener('abort', onAbort);
        if (this.controller.countQueued(key) === 0) {
          this.waitingKeys.delete(key);
        }
      };
      const refuse = (refusal: Refusal) => {
        leave();
        reject(toError(refusal));
      };
      const onAbort = () => {
        this.controller.abandon(key, request);
        leave();
        reject(new CallerGone());
      };
      const deadline = this.clock.setTimer(
        request.deadlineAtMs - this.clock.monotonicMs(),
        () => this.giveUpLate(key),
      );
      const tryStart = () => {
        const nowMs = this.clock.monotonicMs();
        const refusal = this.controller.judgeStart(key, request, nowMs);
        if (refusal) {
          this.controller.abandon(key, request);
          refuse(refusal);
          return true;
        }
        const place = target.takePlace();
        if (place === null) return false;
        this.controller.startNext(key, nowMs);
        this.runningCount += 1;
        leave();
        resolve(place);
        return true;
      };
      const findOutlook = () => target.findOutlook();
      const waiter = {request, key, findOutlook, tryStart, refuse};
      this.waiters.set(request.requestId, waiter);
      this.waitingKeys.add(key);
      this.scheduleReassessment();
      if (signal?.aborted) onAbort();
      else signal?.addEventListener('abort', onAbort, {once: true});
    });
  }

  /**
   * Lets one request out: of all queues' heads, the one of highest priority.
   * Returns whether there was one.
   */
  private startOne(): boolean {
    const heads = [...this.waitingKeys]
      .map(key => this.controller.peek(key))
      .filter(request => request !== undefined)
      .sort((a, b) => b.priority - a.priority)
      .map(request => this.waiters.get(request.requestId))
      .filter(waiter => waiter !== undefined);
    const started = heads.find(
      waiter => waiter.findOutlook().status === 'serving' && waiter.tryStart(),
    );
    if (!started) return false;
    if (this.waitingKeys.delete(started.key)) this.waitingKeys.add(started.key);
    return true;
  }

  private scheduleReassessment(): void {
    this.reassessing ??= this.clock.setTimer(REASSESS_MS, () => {
      this.reassessing = null;
      [...this.waitingKeys].forEach(key => this.giveUpLate(key));
      this.pump();
      if (this.waiters.size > 0) this.scheduleReassessment();
    });
  }

  private giveUpLate(key: string): void {
    const head = this.controller.peek(key);
    const waiter = head && this.waiters.get(head.requestId);
    if (!waiter) return;
    this.controller
      .reassess(key, waiter.findOutlook(), this.clock.monotonicMs())
      .forEach(({request, refusal}) =>
        this.waiters.get(request.requestId)?.refuse(refusal),
      );
  }
}

function toError({kind, message, retryAfterMs}: Refusal): TypedError {
  return new TypedError(kind, message, {run: 'not-run', retryAfterMs});
}
