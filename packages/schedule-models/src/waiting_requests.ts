/** The queue of waiting requests. */
import {
  ANONYMOUS_TEAM,
  type FairOrder,
  type ShareItem,
  VirtualCounters,
} from '@mimosatack/share-capacity';
import {type TeamName} from '@mimosatack/types';
import {type FindTeamUse} from './load_shares.js';
import {findRequestCost} from './request_cost.js';
import {type ScheduledRequest} from './scheduled_request.js';

export interface RequestItem extends ShareItem {
  request: ScheduledRequest;
}

/**
 * Orders requests by urgency, or by the shares of teams once these are set. Caches the list,
 * which each decision reads several times.
 */
export class WaitingRequests {
  private readonly requests = new Map<string, ScheduledRequest>();
  /** Null while requests go by urgency alone. */
  private shares: FairOrder<RequestItem> | null = null;
  private ordered: readonly ScheduledRequest[] | null = null;
  private orderedAtMs = -Infinity;

  constructor(
    private readonly makeOrder: () => FairOrder<RequestItem> = () =>
      new VirtualCounters(),
  ) {}

  get size(): number {
    return this.requests.size;
  }

  /** @param weights of teams; null to serve requests by urgency alone. */
  setShares(weights: ReadonlyMap<TeamName, number> | null): void {
    this.ordered = null;
    if (!weights) {
      this.shares = null;
      return;
    }
    const shares = this.shares ?? this.makeShares();
    shares.setWeights(weights);
    this.shares = shares;
  }

  add(request: ScheduledRequest): void {
    this.requests.set(request.askId, request);
    this.shares?.add(toItem(request));
    this.ordered = null;
  }

  delete(askId: string): void {
    if (!this.requests.delete(askId)) return;
    this.shares?.remove(askId);
    this.ordered = null;
  }

  /** Charges a request that another scheduler or a node has assigned. */
  recordRunning(request: ScheduledRequest): void {
    this.shares?.recordStart(toItem(request));
  }

  /** Returns the charge of an assigned request that has not run. */
  recordNotRun(request: ScheduledRequest): void {
    this.shares?.recordNotRun(toItem(request));
  }

  /** Offers each request in order; one that starts no longer waits. */
  startEach(
    nowMs: number,
    tryStart: (request: ScheduledRequest) => boolean,
  ): void {
    if (!this.shares) {
      this.listInOrder(nowMs).forEach(request => {
        if (tryStart(request)) this.delete(request.askId);
      });
      return;
    }
    this.shares.startEach(nowMs, ({request}) => {
      const hasStarted = tryStart(request);
      if (hasStarted) this.requests.delete(request.askId);
      return hasStarted;
    });
    this.ordered = null;
  }

  /** What teams have used; null while requests go by urgency alone. */
  get findTeamUse(): FindTeamUse | null {
    const {shares} = this;
    return shares && (team => shares.findUse(team ?? ANONYMOUS_TEAM));
  }

  /** In order of insertion. */
  list(): ScheduledRequest[] {
    return [...this.requests.values()];
  }

  /** In the order in which they get capacity. */
  listInOrder(nowMs: number): readonly ScheduledRequest[] {
    if (this.shares && this.orderedAtMs !== nowMs) this.ordered = null;
    this.orderedAtMs = nowMs;
    this.ordered ??= this.sort(nowMs);
    return this.ordered;
  }

  private sort(nowMs: number): ScheduledRequest[] {
    return this.shares
      ? this.shares.list(nowMs).map(({request}) => request)
      : this.list().sort(compareUrgency);
  }

  private makeShares(): FairOrder<RequestItem> {
    const shares = this.makeOrder();
    this.requests.forEach(request => shares.add(toItem(request)));
    return shares;
  }
}

export function toItem(request: ScheduledRequest): RequestItem {
  const {askId, team, priority, dueAtMs} = request;
  return {
    ...{id: askId, team: team ?? ANONYMOUS_TEAM, priority, dueAtMs, request},
    cost: findRequestCost(request),
  };
}

function compareUrgency(a: ScheduledRequest, b: ScheduledRequest): number {
  return a.priority - b.priority || a.arrivedAtMs - b.arrivedAtMs;
}
