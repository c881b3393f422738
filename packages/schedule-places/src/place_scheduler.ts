/**
 * Assigns the places of plain servers to the requests of all nodes. Answers a load in which nodes
 * that each choose by themselves together send servers more than they take.
 */
import {type RandomSource} from '@mimosatack/random';
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServiceName,
  type TeamName,
} from '@mimosatack/types';
import {Coordination} from './coordination.js';
import {
  type PlaceDecision,
  type PlaceRequest,
  type PlaceResult,
  type Pressure,
} from './place_request.js';
import {ServicePlaces, type ServicePlacesOptions} from './service_places.js';

export interface PlaceSchedulerOptions extends Pick<
  ServicePlacesOptions,
  'mayStart' | 'onStart' | 'isLeaving'
> {
  random: RandomSource;
}

interface KnownAsk {
  service: ServiceName;
  incarnation: string;
}

interface NodeProcess {
  current: string;
  /** Its messages may arrive after the first of the current one. */
  previous: string | null;
}

export class PlaceScheduler {
  private readonly services = new Map<ServiceName, ServicePlaces>();
  private readonly serviceOfServer = new Map<BackendServerId, ServiceName>();
  private readonly asks = new Map<string, KnownAsk>();
  /** The processes that asked last, by the address of the node. */
  private readonly processes = new Map<string, NodeProcess>();
  private readonly coordination = new Coordination();
  private weights: ReadonlyMap<TeamName, number> | null = null;
  private pending: PlaceDecision[] = [];

  constructor(private readonly options: PlaceSchedulerOptions) {}

  /**
   * @param services the services without models.
   * @param weights shares of teams; null where teams have no shares.
   */
  configure(
    services: readonly ServiceName[],
    weights: ReadonlyMap<TeamName, number> | null,
  ): void {
    this.weights = weights;
    services
      .filter(name => !this.services.has(name))
      .forEach(name => this.addService(name));
    this.services.forEach(places => places.setWeights(weights ?? new Map()));
  }

  /** @param isKnown whether the servers served before this process knew of them. */
  putServers(
    entries: readonly BackendServerEntry[],
    isKnown: boolean,
    nowMs: number,
  ): void {
    entries.forEach(entry => {
      const places = this.services.get(entry.service);
      if (!places) return;
      this.serviceOfServer.set(entry.id, entry.service);
      places.servers.put(entry, isKnown, nowMs);
    });
  }

  removeServer(id: BackendServerId): void {
    const service = this.serviceOfServer.get(id);
    if (service === undefined) return;
    this.serviceOfServer.delete(id);
    this.services.get(service)?.removeServer(id);
  }

  /** Whether the request waits or runs here. */
  has(askId: string): boolean {
    return this.asks.has(askId);
  }

  /** Services whose requests all nodes have to ask a place for. */
  listCoordinated(): ServiceName[] {
    return this.coordination.list();
  }

  /** Load alone matters only where teams share capacity. */
  recordPressure(pressure: Pressure, nowMs: number): void {
    const {service, serverId, startedAtMs, cause, brittlePerSecond} = pressure;
    const places = this.services.get(service);
    if (!places) return;
    if (brittlePerSecond !== null) {
      places.servers.setBrittle(serverId, startedAtMs, brittlePerSecond);
    }
    const isOfLoad = cause === 'load' || cause === 'rejection';
    if (isOfLoad && this.weights === null) return;
    if (!this.coordination.record(service, nowMs)) return;
    this.pending.push({
      ...{kind: 'coordinate', service, isCoordinated: true, cause},
    });
  }

  add(request: PlaceRequest, nowMs: number): void {
    if (!this.noteProcess(request)) return;
    const places = this.services.get(request.service);
    if (!places) return;
    this.noteAsk(request);
    const refusal = places.add(request, nowMs);
    if (refusal) this.pending.push(refusal);
  }

  /** Records a request that runs already, after a change of the scheduling node. */
  recordRunning(
    request: PlaceRequest,
    serverId: BackendServerId,
    nowMs: number,
  ): void {
    if (!this.noteProcess(request)) return;
    const places = this.services.get(request.service);
    if (!places) return;
    this.noteAsk(request);
    places.recordRunning(request, serverId, nowMs);
  }

  /**
   * Returns false for a request that was assigned meanwhile: its node reports its end once the
   * assignment arrives there.
   */
  withdraw(askId: string): boolean {
    const places = this.findPlaces(askId);
    if (places?.servers.hasRun(askId)) return false;
    places?.withdraw(askId);
    this.asks.delete(askId);
    return true;
  }

  recordEnd(askId: string, result: PlaceResult, nowMs: number): void {
    const service = this.asks.get(askId)?.service;
    if (service === undefined) return;
    this.asks.delete(askId);
    if (result === 'not-taken' && this.weights) {
      this.coordination.prolong(service, nowMs);
    }
    const lowered = this.services.get(service)?.recordEnd(askId, result, nowMs);
    if (lowered) this.pending.push({kind: 'lower-limit', service, ...lowered});
  }

  /** Ends the requests of a node's process that is gone. */
  endRequestsOf(
    incarnation: string,
    cause: 'node-restarted' | 'node-removed' = 'node-removed',
  ): void {
    const ended = [...this.services.values()].map(places =>
      places.endRequestsOf(incarnation),
    );
    const running = ended.flatMap(requests => requests.running);
    const waiting = ended.flatMap(requests => requests.waiting);
    // Runs at a server that was removed are known here alone.
    this.asks.forEach((ask, id) => {
      if (ask.incarnation === incarnation) this.asks.delete(id);
    });
    if (running.length + waiting.length > 0) {
      this.pending.push({kind: 'abandon', cause, running, waiting});
    }
    this.pending.push({kind: 'process-ended', incarnation});
  }

  decide(nowMs: number): PlaceDecision[] {
    const pending = this.pending;
    this.pending = [];
    const decided = [...this.services.values()].flatMap(places =>
      places.decide(nowMs),
    );
    const decisions = [...pending, ...decided, ...this.endCoordination(nowMs)];
    decisions
      .flatMap(decision => listEnded(decision))
      .forEach(({id}) => this.asks.delete(id));
    return decisions;
  }

  /** Whether there is something to decide before the next request or end. */
  get hasPending(): boolean {
    return this.pending.length > 0;
  }

  get waitingCount(): number {
    return [...this.services.values()].reduce(
      (sum, {waitingCount}) => sum + waitingCount,
      0,
    );
  }

  /** Limit and places taken of each server of a coordinated service. */
  describe(
    nowMs: number,
  ): Array<{serverId: BackendServerId; limit: number; running: number}> {
    return this.listCoordinated().flatMap(name =>
      (this.services.get(name)?.servers.list() ?? []).map(
        ({entry, limit, running}) => ({
          ...{serverId: entry.id, limit: limit.find(nowMs), running},
        }),
      ),
    );
  }

  private endCoordination(nowMs: number): PlaceDecision[] {
    return this.coordination
      .endWhere(nowMs, service => {
        const places = this.services.get(service);
        if (!places) return true;
        return places.waitingCount === 0 && places.isUnderHalf(nowMs);
      })
      .map(service => ({
        ...{kind: 'coordinate', service, isCoordinated: false},
        cause: 'no-pressure',
      }));
  }

  /**
   * Guards against places that stay taken by requests of a process that was killed. Returns
   * false for a late message of a process that was replaced.
   */
  noteProcess({
    nodeAddress,
    incarnation,
  }: Pick<PlaceRequest, 'nodeAddress' | 'incarnation'>): boolean {
    const known = this.processes.get(nodeAddress);
    if (known?.current === incarnation) return true;
    if (known?.previous === incarnation) return false;
    const previous = known?.current ?? null;
    this.processes.set(nodeAddress, {current: incarnation, previous});
    if (previous !== null) this.endRequestsOf(previous, 'node-restarted');
    return true;
  }

  private noteAsk({id, service, incarnation}: PlaceRequest): void {
    this.asks.set(id, {service, incarnation});
  }

  private addService(name: ServiceName): void {
    this.services.set(name, new ServicePlaces(this.options));
  }

  private findPlaces(askId: string): ServicePlaces | undefined {
    return this.services.get(this.asks.get(askId)?.service ?? '');
  }
}

/** The requests that the decision ends. */
function listEnded(decision: PlaceDecision): readonly PlaceRequest[] {
  switch (decision.kind) {
    case 'refuse':
      return [decision.request];
    case 'abandon':
      return [...decision.running, ...decision.waiting];
    default:
      return [];
  }
}
