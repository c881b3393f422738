/** The waiting requests of one service, in fair order, with the counts that forecasts need. */
import {VirtualCounters} from '@mimosatack/share-capacity';
import {type TeamName} from '@mimosatack/types';
import {type PlaceRequest} from './place_request.js';

export class PlaceQueue {
  private readonly order = new VirtualCounters<PlaceRequest>();
  /** Waiting requests by team and priority. */
  private readonly counts = new Map<TeamName, Map<number, number>>();
  private readonly requests = new Map<string, PlaceRequest>();

  get size(): number {
    return this.order.size;
  }

  setWeights(weights: ReadonlyMap<TeamName, number>): void {
    this.order.setWeights(weights);
  }

  get(id: string): PlaceRequest | undefined {
    return this.order.get(id);
  }

  add(request: PlaceRequest): void {
    this.remove(request.id);
    this.order.add(request);
    this.count(request, 1);
  }

  remove(id: string): PlaceRequest | undefined {
    const removed = this.order.remove(id);
    if (removed) this.count(removed, -1);
    return removed;
  }

  recordStart(request: PlaceRequest): void {
    this.order.recordStart(request);
  }

  recordNotRun(request: PlaceRequest): void {
    this.order.recordNotRun(request);
  }

  startEach(
    nowMs: number,
    tryStart: (request: PlaceRequest) => boolean,
    hasRoom: () => boolean,
  ): void {
    this.order.startEach(
      nowMs,
      request => {
        const hasStarted = tryStart(request);
        if (hasStarted) this.count(request, -1);
        return hasStarted;
      },
      hasRoom,
    );
  }

  listWhere(isWanted: (request: PlaceRequest) => boolean): PlaceRequest[] {
    return [...this.requests.values()].filter(isWanted);
  }

  /** Waiting requests of the same team and priority. */
  countAhead({team, priority}: PlaceRequest): number {
    return this.counts.get(team)?.get(priority) ?? 0;
  }

  private count(request: PlaceRequest, change: 1 | -1): void {
    const {id, team, priority} = request;
    const byPriority = this.counts.get(team) ?? new Map<number, number>();
    const left = (byPriority.get(priority) ?? 0) + change;
    if (change > 0) this.requests.set(id, request);
    else this.requests.delete(id);
    if (left > 0) byPriority.set(priority, left);
    else byPriority.delete(priority);
    if (byPriority.size > 0) this.counts.set(team, byPriority);
    else this.counts.delete(team);
  }
}
