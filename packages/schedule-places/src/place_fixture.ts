/** A place scheduler with servers and requests, for tests. */
import {SeededRandom} from '@mimosatack/random';
import {type BackendServerEntry} from '@mimosatack/types';
import {
  type PlaceDecision,
  type PlaceRequest,
  type PlaceResult,
} from './place_request.js';
import {PlaceScheduler} from './place_scheduler.js';

export const SERVICE = 'lists';

export function makeServer(
  id: string,
  change: Partial<BackendServerEntry> = {},
): BackendServerEntry {
  return {
    ...{id, startedAtMs: 1, service: SERVICE, softwareVersion: 'v1'},
    ...{address: {ip: '127.0.0.1', port: 1}, failureDomain: 'a', slots: 4},
    ...{state: 'ready', leavesInMs: null, residents: []},
    near: {inHostMemory: [], onDisk: []},
    ...change,
  };
}

export function makeRequest(
  id: string,
  nowMs: number,
  change: Partial<PlaceRequest> = {},
): PlaceRequest {
  return {
    ...{id, team: 'north', priority: 1, cost: 1, dueAtMs: nowMs + 500},
    ...{service: SERVICE, nodeAddress: 'n1', incarnation: 'i1'},
    ...{waitDeadlineAtMs: nowMs + 600, endsAtMs: nowMs + 1_000},
    ...{excluded: new Set(), allowed: null},
    ...change,
  };
}

/** Drives a scheduler and collects what it decides. */
export class TestScheduling {
  readonly decisions: PlaceDecision[] = [];
  readonly leaving = new Set<string>();
  /** Starts that the limits of servers allow. */
  permits = Infinity;
  readonly scheduler = new PlaceScheduler({
    random: new SeededRandom(1),
    mayStart: () => this.permits > 0,
    isLeaving: ({id}) => this.leaving.has(id),
    onStart: () => (this.permits -= 1),
  });
  nowMs = 100_000;
  private nextId = 0;

  constructor(servers: readonly BackendServerEntry[], isKnown = true) {
    this.scheduler.configure([SERVICE], new Map([['north', 1]]));
    this.scheduler.putServers(servers, isKnown, this.nowMs);
  }

  /** Adds requests, decides, and returns the ids of those that were assigned. */
  ask(count: number, change: Partial<PlaceRequest> = {}): string[] {
    for (let added = 0; added < count; added += 1) {
      this.nextId += 1;
      const id = `r${this.nextId}`;
      this.scheduler.add(makeRequest(id, this.nowMs, change), this.nowMs);
    }
    return this.decide();
  }

  decide(): string[] {
    const decisions = this.scheduler.decide(this.nowMs);
    this.decisions.push(...decisions);
    return decisions.flatMap(decision =>
      decision.kind === 'assign' ? [decision.request.id] : [],
    );
  }

  end(ids: readonly string[], result: PlaceResult = 'served'): void {
    ids.forEach(id => this.scheduler.recordEnd(id, result, this.nowMs));
  }

  press(serverId: string, brittlePerSecond: number | null): void {
    this.scheduler.recordPressure(
      {
        ...{service: SERVICE, serverId, startedAtMs: 1, brittlePerSecond},
        cause: brittlePerSecond === null ? 'load' : 'brittle',
      },
      this.nowMs,
    );
  }

  findServerOf(id: string): string | undefined {
    return this.decisions.flatMap(decision =>
      decision.kind === 'assign' && decision.request.id === id
        ? [decision.serverId]
        : [],
    )[0];
  }

  countRefused(team: string): number {
    return this.decisions.filter(
      decision => decision.kind === 'refuse' && decision.request.team === team,
    ).length;
  }
}
