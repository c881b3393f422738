/** Decides which requests start, are queued or are refused; does no I/O. */
import {type RandomSource} from '@mimosatack/random';
import {FairQueue} from './fair_queue.js';
import {MIN_RETRY_AFTER_MS, makeRefusal} from './make_refusal.js';
import {TeamLimiter} from './team_limiter.js';
import {
  type AdmissionRequest,
  type ReplicaAvailability,
  type Refusal,
  type RefusalKind,
} from './types.js';
import {WaitEstimator} from './wait_estimator.js';

export interface AdmissionOptions {
  random: RandomSource;
  /** Maximum number of requests in one queue. */
  queueLimit: number;
  /** Maximum total size of the requests in all queues. */
  queueLimitBytes: number;
}

export type AdmissionDecision =
  | {status: 'start'}
  /** `displaced` is the request evicted from a full queue, if any. */
  | {status: 'queued'; displaced: RefusedQueuedRequest | null}
  | {status: 'refused'; refusal: Refusal};

/** A queued request that is refused before it starts. */
export interface RefusedQueuedRequest {
  request: AdmissionRequest;
  refusal: Refusal;
}

interface QueueState {
  queue: FairQueue;
  estimator: WaitEstimator;
  runningCount: number;
  /** Expected wait by request ID, for requests queued with warm replicas. */
  estimatesMs: Map<string, number>;
}

/**
 * Safety factor on the expected wait before a request is queued, as an answer
 * that misses its deadline wastes capacity.
 */
const WAIT_MARGIN = 1.25;

/** Admission state of one node, with one queue per key. */
export class AdmissionController {
  private readonly queueStates = new Map<string, QueueState>();
  private readonly teamLimiter = new TeamLimiter();
  private queuedBytes = 0;

  constructor(private readonly options: AdmissionOptions) {}

  /**
   * Decides on a new request. `tryReserve` reserves capacity at a backend server
   * and is called only if the request may start immediately.
   */
  admit(
    key: string,
    request: AdmissionRequest,
    availability: ReplicaAvailability,
    tryReserve: () => boolean,
    nowMs: number,
  ): AdmissionDecision {
    const {team, teamLimits} = request;
    const waitMs = this.teamLimiter.acquire(team, teamLimits, nowMs);
    if (waitMs !== null) {
      const message = `Team ${team} is over its limit of requests.`;
      return this.refuse('rate-limited', message, waitMs);
    }
    const state = this.getOrCreateState(key);
    const decision = this.decide(
      state,
      request,
      availability,
      tryReserve,
      nowMs,
    );
    if (decision.status === 'refused') this.teamLimiter.release(team);
    return decision;
  }

  /** Returns the next request of the queue without removing it. */
  peek(key: string): AdmissionRequest | undefined {
    return this.queueStates.get(key)?.queue.peek();
  }

  /**
   * Refuses a queued request that would probably miss its deadline if started
   * now, so that the capacity serves another request.
   */
  checkStart(
    key: string,
    request: AdmissionRequest,
    nowMs: number,
  ): Refusal | null {
    const state = this.getOrCreateState(key);
    const meanMs = state.estimator.meanRunMs(request.workClass, nowMs);
    return this.checkRunTime(request, meanMs, nowMs);
  }

  /** Removes the next request from the queue and counts it as running. */
  startNext(key: string, nowMs: number): AdmissionRequest | undefined {
    const state = this.queueStates.get(key);
    const request = state?.queue.take();
    if (!state || !request) return undefined;
    const estimateMs = state.estimatesMs.get(request.requestId) ?? 0;
    state.estimatesMs.delete(request.requestId);
    this.queuedBytes -= request.sizeBytes;
    state.estimator.recordWait(estimateMs, nowMs - request.arrivedAtMs);
    this.recordStart(state, nowMs);
    return request;
  }

  /** Removes a request from its queue without a refusal. */
  abandon(key: string, request: AdmissionRequest): void {
    const state = this.queueStates.get(key);
    if (state) this.removeQueued(state, request);
  }

  /** Records the run time of a request up to the answer or its first byte. */
  recordServed(
    key: string,
    request: AdmissionRequest,
    ranMs: number,
    nowMs: number,
  ): void {
    const state = this.getOrCreateState(key);
    state.estimator.recordRunTime(request.workClass, ranMs, nowMs);
  }

  /** Records that a started request has finished or failed. */
  recordFinished(key: string, request: AdmissionRequest, heldMs: number): void {
    const state = this.getOrCreateState(key);
    state.runningCount -= 1;
    state.estimator.recordEnd(heldMs);
    this.teamLimiter.release(request.team);
  }

  /**
   * Refuses queued requests that can no longer meet their deadline, for example
   * because a replica loads more slowly than expected.
   */
  refuseUnmeetable(
    key: string,
    availability: ReplicaAvailability,
    nowMs: number,
  ): RefusedQueuedRequest[] {
    const state = this.queueStates.get(key);
    if (!state) return [];
    return state.queue.list().flatMap(request => {
      const refusal =
        this.checkDeadline(request, nowMs) ??
        this.checkAvailability(state, request, availability, nowMs) ??
        this.checkShortestRun(state, request, nowMs);
      if (!refusal) return [];
      this.abandon(key, request);
      return [{request, refusal}];
    });
  }

  /** Counts the requests in one queue, or in all without `key`. */
  countQueued(key?: string): number {
    if (key !== undefined) return this.queueStates.get(key)?.queue.size ?? 0;
    return [...this.queueStates.values()].reduce(
      (sum, s) => sum + s.queue.size,
      0,
    );
  }

  /** Refuses a queued request whose deadline has passed. */
  checkDeadline(request: AdmissionRequest, nowMs: number): Refusal | null {
    if (nowMs < request.deadlineAtMs) return null;
    const message = 'The deadline passed while the request was queued.';
    return this.makeRefusal('deadline-exceeded', message, MIN_RETRY_AFTER_MS);
  }

  private decide(
    state: QueueState,
    request: AdmissionRequest,
    availability: ReplicaAvailability,
    tryReserve: () => boolean,
    nowMs: number,
  ): AdmissionDecision {
    const refusal =
      this.checkAvailability(state, request, availability, nowMs) ??
      this.checkShortestRun(state, request, nowMs);
    if (refusal) return {status: 'refused', refusal};
    const isFree = availability.status === 'serving' && state.queue.size === 0;
    if (!isFree || !tryReserve()) {
      return this.enqueue(state, request, availability, nowMs);
    }
    this.recordStart(state, nowMs);
    return {status: 'start'};
  }

  private checkAvailability(
    state: QueueState,
    request: AdmissionRequest,
    availability: ReplicaAvailability,
    nowMs: number,
  ): Refusal | null {
    if (availability.status === 'serving') return null;
    const message = 'No replica of the model is warm.';
    if (availability.status === 'cold') {
      return this.makeRefusal('not-warm', message, availability.retryAfterMs);
    }
    const neededMs =
      availability.readyInMs +
      state.estimator.shortestRunMs(request.workClass, nowMs);
    return neededMs <= request.deadlineAtMs - nowMs
      ? null
      : this.makeRefusal('not-warm', message, availability.readyInMs);
  }

  private checkRunTime(
    request: AdmissionRequest,
    runMs: number,
    nowMs: number,
  ): Refusal | null {
    if (runMs <= request.deadlineAtMs - nowMs) return null;
    const message = `An answer takes about ${Math.round(runMs)} ms.`;
    return this.makeRefusal('deadline-unmeetable', message, MIN_RETRY_AFTER_MS);
  }

  private checkShortestRun(
    state: QueueState,
    request: AdmissionRequest,
    nowMs: number,
  ): Refusal | null {
    const shortestMs = state.estimator.shortestRunMs(request.workClass, nowMs);
    return this.checkRunTime(request, shortestMs, nowMs);
  }

  private recordStart(state: QueueState, nowMs: number): void {
    state.runningCount += 1;
    state.estimator.recordStart(nowMs, state.queue.size > 0);
  }

  private enqueue(
    state: QueueState,
    request: AdmissionRequest,
    availability: ReplicaAvailability,
    nowMs: number,
  ): AdmissionDecision {
    const {queue, estimator} = state;
    const aheadCount = queue.countAhead(request);
    const estimate = estimator.estimateWaitMs(aheadCount, state.runningCount);
    const waitMs =
      (availability.status === 'warming' ? availability.readyInMs : 0) +
      Math.max(estimate.correctedMs, estimator.stalledMs(nowMs));
    const neededMs =
      waitMs * WAIT_MARGIN + estimator.likelyRunMs(request.workClass, nowMs);
    if (neededMs > request.deadlineAtMs - nowMs) {
      const message = `The wait is expected to be ${Math.round(waitMs)} ms.`;
      return this.refuse('deadline-unmeetable', message, waitMs);
    }
    if (availability.status === 'serving') {
      state.estimatesMs.set(request.requestId, estimate.uncorrectedMs);
    }
    if (this.hasQueueRoom(queue, request)) {
      this.addQueued(queue, request);
      return {status: 'queued', displaced: null};
    }
    const evicted = queue.findEvictionCandidate(request);
    const refusal = this.makeRefusal(
      'overloaded',
      'The queue is full.',
      waitMs,
    );
    if (!evicted) {
      state.estimatesMs.delete(request.requestId);
      return {status: 'refused', refusal};
    }
    this.removeQueued(state, evicted);
    this.addQueued(queue, request);
    return {status: 'queued', displaced: {request: evicted, refusal}};
  }

  private removeQueued(state: QueueState, request: AdmissionRequest): void {
    if (!state.queue.remove(request.requestId)) return;
    state.estimatesMs.delete(request.requestId);
    this.queuedBytes -= request.sizeBytes;
    this.teamLimiter.release(request.team);
  }

  private hasQueueRoom(queue: FairQueue, request: AdmissionRequest): boolean {
    const {queueLimit, queueLimitBytes} = this.options;
    return (
      queue.size < queueLimit &&
      this.queuedBytes + request.sizeBytes <= queueLimitBytes
    );
  }

  private addQueued(queue: FairQueue, request: AdmissionRequest): void {
    queue.add(request);
    this.queuedBytes += request.sizeBytes;
  }

  private getOrCreateState(key: string): QueueState {
    const known = this.queueStates.get(key);
    if (known) return known;
    const state: QueueState = {
      queue: new FairQueue(),
      estimator: new WaitEstimator(),
      runningCount: 0,
      estimatesMs: new Map(),
    };
    this.queueStates.set(key, state);
    return state;
  }

  private refuse(
    kind: RefusalKind,
    message: string,
    baseMs: number,
  ): AdmissionDecision {
    return {
      status: 'refused',
      refusal: this.makeRefusal(kind, message, baseMs),
    };
  }

  private makeRefusal(
    kind: RefusalKind,
    message: string,
    baseMs: number,
  ): Refusal {
    return makeRefusal(this.options.random, kind, message, baseMs);
  }
}
