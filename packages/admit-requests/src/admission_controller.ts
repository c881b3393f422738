/** Decides which requests start, wait or are refused; without any sockets. */
import {type RandomSource} from '@mimosatack/random';
import {FairQueue} from './fair_queue.js';
import {MIN_RETRY_AFTER_MS, makeRefusal} from './make_refusal.js';
import {TeamLimiter} from './team_limiter.js';
import {
  type AdmissionRequest,
  type Outlook,
  type Refusal,
  type RefusalKind,
} from './types.js';
import {WaitEstimator} from './wait_estimator.js';

/** What admission works with. */
export interface AdmissionOptions {
  random: RandomSource;
  /** Requests that may wait in one queue. */
  queueLimit: number;
  /** Bytes that the requests in all queues may take. */
  queueLimitBytes: number;
}

/** What becomes of a request that arrives. */
export type AdmissionDecision =
  | {status: 'start'}
  /** Waits; a request that had to make room for it is refused. */
  | {status: 'queued'; displaced: GivenUp | null}
  | {status: 'refused'; refusal: Refusal};

/** A queued request that gets its final answer now. */
export interface GivenUp {
  request: AdmissionRequest;
  refusal: Refusal;
}

/** One queue with what is known of it. */
interface ServingSet {
  queue: FairQueue;
  estimator: WaitEstimator;
  running: number;
  /** The wait expected of each request that was queued for warm replicas. */
  estimatesMs: Map<string, number>;
}

/**
 * A request is queued only if it would be met even after a somewhat longer
 * wait: work on an answer that comes just too late is lost for the others.
 */
const WAIT_MARGIN = 1.25;

/** All queues of one node. */
export class AdmissionController {
  private readonly sets = new Map<string, ServingSet>();
  private readonly teams = new TeamLimiter();
  private queuedBytes = 0;

  constructor(private readonly options: AdmissionOptions) {}

  /**
   * Decides on a new request. `takePlace` holds a place at a backend server
   * and is called only for a request that may start at once.
   */
  arrive(
    key: string,
    request: AdmissionRequest,
    outlook: Outlook,
    takePlace: () => boolean,
    nowMs: number,
  ): AdmissionDecision {
    const {team, teamLimits} = request;
    const waitMs = this.teams.begin(team, teamLimits, nowMs);
    if (waitMs !== null) {
      const message = `Team ${team} is over its limit of requests.`;
      return this.refuse('rate-limited', message, waitMs);
    }
    const set = this.openSet(key);
    const decision = this.decide(set, request, outlook, takePlace, nowMs);
    if (decision.status === 'refused') this.teams.end(team);
    return decision;
  }

  /** The queued request whose turn it is. */
  peek(key: string): AdmissionRequest | undefined {
    return this.sets.get(key)?.queue.peek();
  }

  /**
   * Judges a queued request whose turn it is. One that would probably be
   * answered too late is given up, so that its place goes to one in time.
   */
  judgeStart(
    key: string,
    request: AdmissionRequest,
    nowMs: number,
  ): Refusal | null {
    const set = this.openSet(key);
    const meanMs = set.estimator.meanRunMs(request.workClass, nowMs);
    return this.judgeRunTime(request, meanMs, nowMs);
  }

  /** Starts the queued request whose turn it is. */
  startNext(key: string, nowMs: number): AdmissionRequest | undefined {
    const set = this.sets.get(key);
    const request = set?.queue.take();
    if (!set || !request) return undefined;
    const estimateMs = set.estimatesMs.get(request.requestId) ?? 0;
    set.estimatesMs.delete(request.requestId);
    this.queuedBytes -= request.sizeBytes;
    set.estimator.noteWait(estimateMs, nowMs - request.arrivedAtMs);
    this.noteStarted(set, nowMs);
    return request;
  }

  /** Takes a request out of its queue without an answer. */
  abandon(key: string, request: AdmissionRequest): void {
    const set = this.sets.get(key);
    if (set) this.abandonIn(set, request);
  }

  /** Notes how long a started request took until its deadline was met. */
  noteServed(
    key: string,
    request: AdmissionRequest,
    ranMs: number,
    nowMs: number,
  ): void {
    const set = this.openSet(key);
    set.estimator.noteServed(request.workClass, ranMs, nowMs);
  }

  /** Notes that a started request has ended, well or not. */
  noteEnded(key: string, request: AdmissionRequest, heldMs: number): void {
    const set = this.openSet(key);
    set.running -= 1;
    set.estimator.noteEnded(heldMs);
    this.teams.end(request.team);
  }

  /**
   * Gives up queued requests that can't be met any more, such as when loading
   * the replica they wait for takes longer than expected: they get their
   * answer now and not at their deadline.
   */
  reassess(key: string, outlook: Outlook, nowMs: number): GivenUp[] {
    const set = this.sets.get(key);
    if (!set) return [];
    return set.queue.list().flatMap(request => {
      const refusal =
        this.checkDeadline(request, nowMs) ??
        this.judgeOutlook(set, request, outlook, nowMs) ??
        this.judgeQuickest(set, request, nowMs);
      if (!refusal) return [];
      this.abandon(key, request);
      return [{request, refusal}];
    });
  }

  /** How many requests wait in one queue, or in all. */
  countQueued(key?: string): number {
    if (key !== undefined) return this.sets.get(key)?.queue.size ?? 0;
    return [...this.sets.values()].reduce((sum, s) => sum + s.queue.size, 0);
  }

  /** The final answer to a request whose deadline has passed in a queue. */
  checkDeadline(request: AdmissionRequest, nowMs: number): Refusal | null {
    if (nowMs < request.deadlineAtMs) return null;
    const message = 'The deadline passed while the request was queued.';
    return this.makeRefusal('deadline-exceeded', message, MIN_RETRY_AFTER_MS);
  }

  private decide(
    set: ServingSet,
    request: AdmissionRequest,
    outlook: Outlook,
    takePlace: () => boolean,
    nowMs: number,
  ): AdmissionDecision {
    const refusal =
      this.judgeOutlook(set, request, outlook, nowMs) ??
      this.judgeQuickest(set, request, nowMs);
    if (refusal) return {status: 'refused', refusal};
    const isFree = outlook.status === 'serving' && set.queue.size === 0;
    if (!isFree || !takePlace()) {
      return this.enqueue(set, request, outlook, nowMs);
    }
    this.noteStarted(set, nowMs);
    return {status: 'start'};
  }

  private judgeOutlook(
    set: ServingSet,
    request: AdmissionRequest,
    outlook: Outlook,
    nowMs: number,
  ): Refusal | null {
    if (outlook.status === 'serving') return null;
    const message = 'No replica of the model is warm.';
    if (outlook.status === 'cold') {
      return this.makeRefusal('not-warm', message, outlook.comeBackInMs);
    }
    const neededMs =
      outlook.expectedInMs + set.estimator.quickRunMs(request.workClass, nowMs);
    return neededMs <= request.deadlineAtMs - nowMs
      ? null
      : this.makeRefusal('not-warm', message, outlook.expectedInMs);
  }

  private judgeRunTime(
    request: AdmissionRequest,
    runMs: number,
    nowMs: number,
  ): Refusal | null {
    if (runMs <= request.deadlineAtMs - nowMs) return null;
    const message = `An answer takes about ${Math.round(runMs)} ms.`;
    return this.makeRefusal('deadline-unmeetable', message, MIN_RETRY_AFTER_MS);
  }

  private judgeQuickest(
    set: ServingSet,
    request: AdmissionRequest,
    nowMs: number,
  ): Refusal | null {
    const quickMs = set.estimator.quickRunMs(request.workClass, nowMs);
    return this.judgeRunTime(request, quickMs, nowMs);
  }

  private noteStarted(set: ServingSet, nowMs: number): void {
    set.running += 1;
    set.estimator.noteStarted(nowMs, set.queue.size > 0);
  }

  private enqueue(
    set: ServingSet,
    request: AdmissionRequest,
    outlook: Outlook,
    nowMs: number,
  ): AdmissionDecision {
    const {queue, estimator} = set;
    const ahead = queue.countAhead(request);
    const estimate = estimator.estimateWaitMs(ahead, set.running);
    const waitMs =
      (outlook.status === 'warming' ? outlook.expectedInMs : 0) +
      Math.max(estimate.correctedMs, estimator.stalledMs(nowMs));
    const neededMs =
      waitMs * WAIT_MARGIN + estimator.likelyRunMs(request.workClass, nowMs);
    if (neededMs > request.deadlineAtMs - nowMs) {
      const message = `The wait is expected to be ${Math.round(waitMs)} ms.`;
      return this.refuse('deadline-unmeetable', message, waitMs);
    }
    if (outlook.status === 'serving') {
      set.estimatesMs.set(request.requestId, estimate.uncorrectedMs);
    }
    if (this.hasQueueRoom(queue, request)) {
      this.addTo(queue, request);
      return {status: 'queued', displaced: null};
    }
    const victim = queue.findVictim(request);
    const refusal = this.makeRefusal(
      'overloaded',
      'The queue is full.',
      waitMs,
    );
    if (!victim) {
      set.estimatesMs.delete(request.requestId);
      return {status: 'refused', refusal};
    }
    this.abandonIn(set, victim);
    this.addTo(queue, request);
    return {status: 'queued', displaced: {request: victim, refusal}};
  }

  private abandonIn(set: ServingSet, request: AdmissionRequest): void {
    if (!set.queue.remove(request.requestId)) return;
    set.estimatesMs.delete(request.requestId);
    this.queuedBytes -= request.sizeBytes;
    this.teams.end(request.team);
  }

  private hasQueueRoom(queue: FairQueue, request: AdmissionRequest): boolean {
    const {queueLimit, queueLimitBytes} = this.options;
    return (
      queue.size < queueLimit &&
      this.queuedBytes + request.sizeBytes <= queueLimitBytes
    );
  }

  private addTo(queue: FairQueue, request: AdmissionRequest): void {
    queue.add(request);
    this.queuedBytes += request.sizeBytes;
  }

  private openSet(key: string): ServingSet {
    const known = this.sets.get(key);
    if (known) return known;
    const set: ServingSet = {
      queue: new FairQueue(),
      estimator: new WaitEstimator(),
      running: 0,
      estimatesMs: new Map(),
    };
    this.sets.set(key, set);
    return set;
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
