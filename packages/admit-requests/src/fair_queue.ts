/**
 * A queue ordered by priority, then by turns between teams, then by deadline.
 * Within a priority each team that waits has an equal share of the turns, so
 * a team that floods the queue delays itself and not the others.
 */
import {type TeamName} from '@mimosatack/types';
import {type AdmissionRequest} from './types.js';

/** What one team has waiting at one priority, earliest deadline first. */
interface TeamLane {
  team: TeamName;
  requests: AdmissionRequest[];
  /** How many turns the team has had, counted from when it began to wait. */
  turns: number;
}

/** All teams that wait at one priority. */
interface PriorityLane {
  priority: number;
  teams: Map<TeamName, TeamLane>;
  /** The turn count of the team served last. */
  turns: number;
}

/** Requests that wait for a place at a backend server. */
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
    const lane = this.openLane(request.priority);
    const teamLane = openTeamLane(lane, request.team);
    teamLane.requests.splice(countNotLater(teamLane, request), 0, request);
    this.byId.set(request.requestId, request);
  }

  /** The request whose turn it is. */
  peek(): AdmissionRequest | undefined {
    const lane = this.lanes[0];
    return lane && findNextTeam(lane)?.requests[0];
  }

  /** Takes the request whose turn it is and counts the turn. */
  take(): AdmissionRequest | undefined {
    const lane = this.lanes[0];
    const teamLane = lane && findNextTeam(lane);
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

  /** How many requests would be served before this one if it came in now. */
  countAhead(request: AdmissionRequest): number {
    const higher = this.lanes
      .filter(lane => lane.priority > request.priority)
      .reduce((sum, lane) => sum + countRequests(lane), 0);
    const lane = this.findLane(request.priority);
    if (!lane) return higher;
    const own = lane.teams.get(request.team);
    const ownAhead = own ? countNotLater(own, request) : 0;
    const othersAhead = [...lane.teams.values()]
      .filter(other => other.team !== request.team)
      .reduce(
        (sum, other) => sum + Math.min(other.requests.length, ownAhead + 1),
        0,
      );
    return higher + ownAhead + othersAhead;
  }

  /**
   * The request that should make room for a new one in a full queue: the last
   * of the team with the most requests at the lowest priority. Undefined when
   * the new one has no better claim.
   */
  findVictim(request: AdmissionRequest): AdmissionRequest | undefined {
    const lane = this.lanes.at(-1);
    if (!lane || lane.priority > request.priority) return undefined;
    const longest = [...lane.teams.values()].reduce((a, b) =>
      b.requests.length > a.requests.length ? b : a,
    );
    const own = lane.teams.get(request.team)?.requests.length ?? 0;
    const hasClaim =
      lane.priority < request.priority || longest.requests.length > own + 1;
    return hasClaim ? longest.requests.at(-1) : undefined;
  }

  private findLane(priority: number): PriorityLane | undefined {
    return this.lanes.find(lane => lane.priority === priority);
  }

  private openLane(priority: number): PriorityLane {
    const known = this.findLane(priority);
    if (known) return known;
    const lane: PriorityLane = {priority, teams: new Map(), turns: 0};
    this.lanes = [...this.lanes, lane].sort((a, b) => b.priority - a.priority);
    return lane;
  }
}

/** A team that begins to wait has no turns saved up from before. */
function openTeamLane(lane: PriorityLane, team: TeamName): TeamLane {
  const known = lane.teams.get(team);
  if (known) return known;
  const teamLane = {team, requests: [], turns: lane.turns};
  lane.teams.set(team, teamLane);
  return teamLane;
}

function findNextTeam(lane: PriorityLane): TeamLane | undefined {
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

/** How many requests of a team have the same deadline or an earlier one. */
function countNotLater(lane: TeamLane, request: AdmissionRequest): number {
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
