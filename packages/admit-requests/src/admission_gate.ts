/**
 * Queues requests in front of the backend servers and starts them as capacity
 * becomes available.
 */
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {
  AdmissionController,
  type AdmissionOptions,
} from './admission_controller.js';
import {CallerDisconnected} from './caller_disconnected.js';
import {
  type AdmissionRequest,
  type ReplicaAvailability,
  type Refusal,
} from './types.js';

/** The destination of a request; requests with the same key share a queue. */
export interface Target<P> {
  key: string;
  findAvailability(): ReplicaAvailability;
  /** Reserves capacity at a backend server; null if none is available. */
  tryReserve(): P | null;
}

/** Permission to send one request to a backend server. */
export interface Permit<P> {
  reservation: P;
  waitedMs: number;
  /** Records that the answer, or its first byte, has arrived. */
  recordServed: () => void;
}

interface Waiter {
  request: AdmissionRequest;
  key: string;
  findAvailability(): ReplicaAvailability;
  /**
   * Starts the request if capacity is available, or refuses it if it would miss
   * its deadline. Returns whether the request left the queue.
   */
  tryDequeue(): boolean;
  refuse(refusal: Refusal): void;
}

/** Interval between checks of the queued requests. */
const REASSESS_MS = 100;

/** Admission control of one node. */
export class AdmissionGate {
  private readonly controller: AdmissionController;
  private readonly waiters = new Map<string, Waiter>();
  /** Keys with queued requests, least recently served first. */
  private readonly waitingKeys = new Set<string>();
  private reassessTimer: Timer | null = null;
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
   * Waits for capacity, then calls `work`. Rejects with the kind of the refusal
   * and `run: 'not-run'`, or with `CallerDisconnected` if `signal` is
   * aborted while the request is queued.
   */
  async run<P, T>(
    request: AdmissionRequest,
    target: Target<P>,
    work: (permit: Permit<P>) => Promise<T>,
    signal?: AbortSignal,
  ): Promise<T> {
    const place = await this.admit(request, target, signal);
    const startedAtMs = this.clock.monotonicMs();
    const elapsedMs = () => this.clock.monotonicMs() - startedAtMs;
    const noteServed = () =>
      this.controller.recordServed(
        target.key,
        request,
        elapsedMs(),
        this.clock.monotonicMs(),
      );
    const waitedMs = startedAtMs - request.arrivedAtMs;
    try {
      return await work({
        reservation: place,
        waitedMs,
        recordServed: noteServed,
      });
    } finally {
      this.runningCount -= 1;
      this.controller.recordFinished(target.key, request, elapsedMs());
      this.startQueued();
    }
  }

  /** Starts queued requests; to be called when capacity may have been freed. */
  startQueued(): void {
    if (this.isPumping) return;
    this.isPumping = true;
    try {
      while (this.startOne());
    } finally {
      this.isPumping = false;
    }
  }

  private admit<P>(
    request: AdmissionRequest,
    target: Target<P>,
    signal?: AbortSignal,
  ): Promise<P> {
    const {key} = target;
    let place: P | null = null;
    const takePlace = () => (place = target.tryReserve()) !== null;
    const decision = this.controller.admit(
      key,
      request,
      target.findAvailability(),
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
        deadlineTimer.cancel();
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
        reject(new CallerDisconnected());
      };
      const deadlineTimer = this.clock.setTimer(
        request.deadlineAtMs - this.clock.monotonicMs(),
        () => this.rejectUnmeetable(key),
      );
      const tryDequeue = () => {
        const nowMs = this.clock.monotonicMs();
        const refusal = this.controller.checkStart(key, request, nowMs);
        if (refusal) {
          this.controller.abandon(key, request);
          refuse(refusal);
          return true;
        }
        const place = target.tryReserve();
        if (place === null) return false;
        this.controller.startNext(key, nowMs);
        this.runningCount += 1;
        leave();
        resolve(place);
        return true;
      };
      const findAvailability = () => target.findAvailability();
      const waiter = {request, key, findAvailability, tryDequeue, refuse};
      this.waiters.set(request.requestId, waiter);
      this.waitingKeys.add(key);
      this.scheduleReassessment();
      if (signal?.aborted) onAbort();
      else signal?.addEventListener('abort', onAbort, {once: true});
    });
  }

  /**
   * Tries the queue heads by priority until one leaves its queue. Returns
   * whether one did.
   */
  private startOne(): boolean {
    const heads = [...this.waitingKeys]
      .map(key => this.controller.peek(key))
      .filter(request => request !== undefined)
      .sort((a, b) => b.priority - a.priority)
      .map(request => this.waiters.get(request.requestId))
      .filter(waiter => waiter !== undefined);
    const started = heads.find(
      waiter =>
        waiter.findAvailability().status === 'serving' && waiter.tryDequeue(),
    );
    if (!started) return false;
    if (this.waitingKeys.delete(started.key)) this.waitingKeys.add(started.key);
    return true;
  }

  private scheduleReassessment(): void {
    this.reassessTimer ??= this.clock.setTimer(REASSESS_MS, () => {
      this.reassessTimer = null;
      [...this.waitingKeys].forEach(key => this.rejectUnmeetable(key));
      this.startQueued();
      if (this.waiters.size > 0) this.scheduleReassessment();
    });
  }

  private rejectUnmeetable(key: string): void {
    const head = this.controller.peek(key);
    const waiter = head && this.waiters.get(head.requestId);
    if (!waiter) return;
    this.controller
      .refuseUnmeetable(
        key,
        waiter.findAvailability(),
        this.clock.monotonicMs(),
      )
      .forEach(({request, refusal}) =>
        this.waiters.get(request.requestId)?.refuse(refusal),
      );
  }
}

function toError({kind, message, retryAfterMs}: Refusal): TypedError {
  return new TypedError(kind, message, {run: 'not-run', retryAfterMs});
}
