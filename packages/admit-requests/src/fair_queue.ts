/**
 * A queue ordered by priority, then round robin between teams, then by
 * deadline, so that one team's burst does not delay other teams: within a priority,
 * each waiting team gets an equal share of the turns.
 */
import {type TeamName} from '@mimosatack/types';
import {type AdmissionRequest} from './types.js';

/** The queued requests of one team at one priority. */
interface TeamLane {
  team: TeamName;
  /** Earliest deadline first. */
  requests: AdmissionRequest[];
  /** Requests served, starting from the lane's `turns` when first queued. */
  turns: number;
}

/** The queued requests of one priority. */
interface PriorityLane {
  priority: number;
  teams: Map<TeamName, TeamLane>;
  /** Value of `turns` of the most recently served team before its turn. */
  turns: number;
}

export class FairQueue {
  /** Highest priority first. */
  private lanes: PriorityLane[] = [];
  private readonly byId = new Map<string, AdmissionRequest>();

  get size(): number {
    return this.byId.size;
  }

  list(): AdmissionRequest[] {
    return [...this.byId.values()];
  }

  add(request: AdmissionRequest): void {
    const lane = this.getOrCreateLane(request.priority);
    const teamLane = getOrCreateTeamLane(lane, request.team);
    teamLane.requests.splice(countDueBy(teamLane, request), 0, request);
    this.byId.set(request.requestId, request);
  }

  /** Returns the next request without removing it. */
  peek(): AdmissionRequest | undefined {
    const lane = this.lanes[0];
    return lane && pickNextTeam(lane)?.requests[0];
  }

  /** Removes the next request and counts a turn for its team. */
  take(): AdmissionRequest | undefined {
    const lane = this.lanes[0];
    const teamLane = lane && pickNextTeam(lane);
    const request = teamLane?.requests[0];
    if (!lane || !teamLane || !request) return undefined;
    lane.turns = teamLane.turns;
    teamLane.turns += 1;
    this.remove(request.requestId);
    return request;
  }

  remove(requestId: string): AdmissionRequest | undefined {
    const request = this.byId.get(requestId);
    if (!request) return undefined;
    this.byId.delete(requestId);
    const lane = this.findLane(request.priority);
    const teamLane = lane?.teams.get(request.team);
    if (!lane || !teamLane) return request;
    teamLane.requests.splice(teamLane.requests.indexOf(request), 1);
    if (teamLane.requests.length === 0) lane.teams.delete(request.team);
    if (lane.teams.size === 0) {
      this.lanes = this.lanes.filter(other => other !== lane);
    }
    return request;
  }

  /** Counts the queued requests that would be served before a new one. */
  countAhead(request: AdmissionRequest): number {
    const higher = this.lanes
      .filter(lane => lane.priority > request.priority)
      .reduce((sum, lane) => sum + countRequests(lane), 0);
    const lane = this.findLane(request.priority);
    if (!lane) return higher;
    const own = lane.teams.get(request.team);
    const ownAhead = own ? countDueBy(own, request) : 0;
    const othersAhead = [...lane.teams.values()]
      .filter(other => other.team !== request.team)
      .reduce(
        (sum, other) => sum + Math.min(other.requests.length, ownAhead + 1),
        0,
      );
    return higher + ownAhead + othersAhead;
  }

  /**
   * Returns the request to evict from a full queue for a new one: the last
   * request of the largest team at the lowest priority. Returns undefined if
   * the new request has no precedence over it.
   */
  findEvictionCandidate(
    request: AdmissionRequest,
  ): AdmissionRequest | undefined {
    const lane = this.lanes.at(-1);
    if (!lane || lane.priority > request.priority) return undefined;
    const longest = [...lane.teams.values()].reduce((a, b) =>
      b.requests.length > a.requests.length ? b : a,
    );
    const own = lane.teams.get(request.team)?.requests.length ?? 0;
    const canEvict =
      lane.priority < request.priority || longest.requests.length > own + 1;
    return canEvict ? longest.requests.at(-1) : undefined;
  }

  private findLane(priority: number): PriorityLane | undefined {
    return this.lanes.find(lane => lane.priority === priority);
  }

  private getOrCreateLane(priority: number): PriorityLane {
    const known = this.findLane(priority);
    if (known) return known;
    const lane: PriorityLane = {priority, teams: new Map(), turns: 0};
    this.lanes = [...this.lanes, lane].sort((a, b) => b.priority - a.priority);
    return lane;
  }
}

/** New lanes start at the current turn count, so idle teams gain no credit. */
function getOrCreateTeamLane(lane: PriorityLane, team: TeamName): TeamLane {
  const known = lane.teams.get(team);
  if (known) return known;
  const teamLane = {team, requests: [], turns: lane.turns};
  lane.teams.set(team, teamLane);
  return teamLane;
}

function pickNextTeam(lane: PriorityLane): TeamLane | undefined {
  return [...lane.teams.values()].reduce<TeamLane | undefined>(
    (best, other) => (best && best.turns <= other.turns ? best : other),
    undefined,
  );
}

function countRequests(lane: PriorityLane): number {
  return [...lane.teams.values()].reduce(
    (sum, teamLane) => sum + teamLane.requests.length,
    0,
  );
}

/** Counts the team's requests with the same or an earlier deadline. */
function countDueBy(lane: TeamLane, request: AdmissionRequest): number {
  const {requests} = lane;
  let low = 0;
  let high = requests.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const other = requests[middle] as AdmissionRequest;
    if (other.deadlineAtMs <= request.deadlineAtMs) low = middle + 1;
    else high = middle;
  }
  return low;
}
