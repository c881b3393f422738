/** The waiting requests of one service, in fair order, with the counts that estimates need. */
import {VirtualCounters} from '@mimosatack/share-capacity';
import {type TeamName} from '@mimosatack/types';
import {countAhead} from './estimate_start.js';
import {type PlaceRequest} from './place_request.js';

export class PlaceQueue {
  private readonly order = new VirtualCounters<PlaceRequest>();
  /** Waiting requests by team and priority. */
  private readonly counts = new Map<TeamName, Map<number, number>>();
  private readonly requests = new Map<string, PlaceRequest>();
  private weights: ReadonlyMap<TeamName, number> = new Map();

  get size(): number {
    return this.order.size;
  }

  setWeights(weights: ReadonlyMap<TeamName, number>): void {
    this.weights = weights;
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

  /** Waiting requests that start before one that is added now. */
  countAhead({team, priority}: PlaceRequest): number {
    const own = [...(this.counts.get(team) ?? [])]
      .filter(([other]) => other <= priority)
      .reduce((sum, [, count]) => sum + count, 0);
    const others = [...this.counts]
      .filter(([other]) => other !== team)
      .map(([other, byPriority]) => ({
        team: other,
        waiting: [...byPriority.values()].reduce((sum, next) => sum + next, 0),
        weight: this.findWeight(other),
      }));
    return countAhead(own, this.findWeight(team), others);
  }

  private findWeight(team: TeamName): number {
    return this.weights.get(team) ?? 1;
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
