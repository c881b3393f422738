/** Chooses a backend server among those that can serve a request. */
import {type Clock} from '@mimosatack/clock';
import {type RandomSource, pickOne} from '@mimosatack/random';
import {
  type BackendServerId,
  type FailureDomain,
  type LoadReport,
} from '@mimosatack/types';
import {CircuitTable} from './circuit_table.js';
import {PeerLatencies} from './peer_latencies.js';
import {LeavingSet} from './leaving_set.js';
import {type PrefixCacheEvent, PrefixTable} from './prefix_table.js';
import {
  type RequestOutcome,
  type RouteDecision,
  type RouteRequest,
} from './route_types.js';
import {ServerLoad} from './server_load.js';

export interface RouterOptions {
  clock: Clock;
  random: RandomSource;
  ownDomain: FailureDomain;
  findDomain(id: BackendServerId): FailureDomain | undefined;
  /** Number of nodes that send to the same servers, including this one. */
  countNodes(): number;
  /** Called when the circuit of a server opens or closes. */
  onCircuit?(id: BackendServerId, state: 'open' | 'closed'): void;
}

/** Load that a fully cached prompt outweighs, in units of capacity. */
const PREFIX_WEIGHT = 0.3;

/** Up to this number of candidates, all are compared instead of a sample. */
const MAX_FULL_SCAN = 16;
const SAMPLE_SIZE = 4;
/** A sample with fewer eligible candidates is drawn again. */
const MIN_ELIGIBLE = 2;
/** After this number of samples, all candidates are compared. */
const MAX_SAMPLE_ROUNDS = 3;

/** A request with the time of the routing decision. */
interface TimedRequest extends RouteRequest {
  nowMs: number;
}

/** Routes by estimated load, cached prefixes, circuits and leaving servers. */
export class Router {
  readonly prefixes = new PrefixTable();
  private readonly loads = new Map<BackendServerId, ServerLoad>();
  private readonly leaving = new LeavingSet();
  private readonly circuits: CircuitTable;
  private readonly latencies = new PeerLatencies();

  constructor(private readonly options: RouterOptions) {
    this.circuits = new CircuitTable(options.random);
  }

  /** Sets the backend servers that the host list shows as leaving. */
  setDraining(ids: readonly BackendServerId[]): void {
    this.leaving.setListed(ids);
  }

  /** Records a hint from any source; returns whether it was new. */
  noteLeaving(id: BackendServerId): boolean {
    return this.leaving.noteHint(id, this.nowMs());
  }

  isLeaving(id: BackendServerId): boolean {
    return this.leaving.has(id, this.nowMs());
  }

  /** Applies a load report that has just been received. */
  noteReport(id: BackendServerId, load: LoadReport): void {
    this.getOrCreateLoad(id).noteReport(load, {
      nowMs: this.nowMs(),
      nodeCount: this.options.countNodes(),
      roundingFraction: this.options.random.nextFraction(),
    });
  }

  noteCacheEvents(
    id: BackendServerId,
    events: readonly PrefixCacheEvent[],
  ): void {
    this.prefixes.noteEvents(id, events, this.nowMs());
  }

  /** Drops all state of a backend server that no longer exists. */
  forget(id: BackendServerId): void {
    this.loads.delete(id);
    this.circuits.forget(id);
    this.latencies.forget(id);
    this.leaving.forget(id);
    this.prefixes.forget(id);
  }

  /** Returns the chosen server, or null if there is none. */
  choose(request: RouteRequest): BackendServerId | null {
    const decision = this.route(request);
    return decision.status === 'chosen' ? decision.id : null;
  }

  /**
   * Chooses the server with the lowest cost among all candidates, or a random
   * sample of many, and one server that has the start of the prompt cached. The
   * cost is described in `ServerLoad`.
   */
  route(routeRequest: RouteRequest): RouteDecision {
    const {candidates, excluded, avoidedDomains, prefix, requiresCapacity} =
      routeRequest;
    const request: TimedRequest = {
      candidates,
      excluded,
      avoidedDomains,
      prefix,
      requiresCapacity,
      nowMs: this.nowMs(),
    };
    const sample = this.sample(request);
    if (sample) return {status: 'chosen', id: this.pick(sample, request)};
    const usable = this.listUsable(request);
    if (usable.length === 0) return {status: 'none'};
    const withCapacity = usable.filter(id => this.hasCapacity(id, request));
    if (withCapacity.length === 0) return {status: 'full'};
    const sampled = this.rotate(this.avoidDomains(withCapacity, request));
    return {status: 'chosen', id: this.pick(sampled, request)};
  }

  noteSent(id: BackendServerId, prefix?: RouteRequest['prefix']): void {
    const nowMs = this.nowMs();
    this.getOrCreateLoad(id).noteSent(nowMs);
    this.circuits.noteSent(id, nowMs);
    if (prefix) {
      this.prefixes.noteSent(id, prefix.model, prefix.hashes, nowMs);
    }
  }

  noteDone(
    id: BackendServerId,
    outcome: RequestOutcome = {status: 'neutral'},
  ): void {
    this.loads.get(id)?.noteDone(this.nowMs());
    this.noteOutcome(id, outcome);
  }

  /** Records an outcome before the request is done, such as a late first byte. */
  noteOutcome(id: BackendServerId, outcome: RequestOutcome): void {
    const nowMs = this.nowMs();
    if (outcome.status === 'neutral') return this.circuits.noteInconclusive(id);
    if (outcome.status === 'failed') {
      if (this.circuits.noteFailure(id, nowMs)) this.handleOpened(id);
      return;
    }
    const {group, firstByteMs} = outcome;
    const state = this.circuits.findState(id, nowMs);
    // The request was sent before the circuit opened; its answer adds nothing.
    if (state === 'open') return;
    const isSlow =
      state === 'half-open'
        ? firstByteMs > this.latencies.findSlowLimitMs(group, id)
        : this.latencies.record(group, id, firstByteMs);
    if (isSlow) {
      if (this.circuits.noteSlow(id, nowMs)) this.handleOpened(id);
    } else if (this.circuits.noteSuccess(id)) {
      this.options.onCircuit?.(id, 'closed');
    }
  }

  /** Time to first byte above which a server counts as slow in its group, in ms. */
  findSlowLimitMs(group: string, id: BackendServerId): number {
    return this.latencies.findSlowLimitMs(group, id);
  }

  private handleOpened(id: BackendServerId): void {
    // Probes must not be judged by the samples that opened the circuit.
    this.latencies.forget(id);
    this.options.onCircuit?.(id, 'open');
  }

  /**
   * Returns a random sample of eligible candidates. Null if there are few
   * candidates, if failure domains are avoided, or if too few are eligible.
   */
  private sample(request: TimedRequest): BackendServerId[] | null {
    const {candidates, avoidedDomains} = request;
    const isSmall = candidates.length <= MAX_FULL_SCAN;
    if (isSmall || (avoidedDomains && avoidedDomains.size > 0)) return null;
    for (let round = 0; round < MAX_SAMPLE_ROUNDS; round += 1) {
      const eligible = this.drawCandidates(candidates).filter(id =>
        this.isEligible(id, request),
      );
      if (eligible.length >= MIN_ELIGIBLE) return eligible;
    }
    return null;
  }

  private drawCandidates(
    candidates: readonly BackendServerId[],
  ): BackendServerId[] {
    const {random} = this.options;
    return Array.from(
      {length: SAMPLE_SIZE},
      () =>
        candidates[random.nextInt(0, candidates.length - 1)] as BackendServerId,
    );
  }

  private isEligible(id: BackendServerId, request: TimedRequest): boolean {
    return (
      this.isAvailable(id, request) &&
      this.circuits.allows(id, request.nowMs) &&
      this.hasCapacity(id, request)
    );
  }

  private isAvailable(id: BackendServerId, request: TimedRequest): boolean {
    return !request.excluded.has(id) && !this.leaving.has(id, request.nowMs);
  }

  private listUsable(request: TimedRequest): BackendServerId[] {
    const {nowMs} = request;
    const available = request.candidates.filter(id =>
      this.isAvailable(id, request),
    );
    const allowed = available.filter(id => this.circuits.allows(id, nowMs));
    return allowed.length > 0
      ? allowed
      : available.filter(id => this.circuits.isSlowOnly(id));
  }

  private avoidDomains(
    ids: BackendServerId[],
    {avoidedDomains}: TimedRequest,
  ): BackendServerId[] {
    if (!avoidedDomains || avoidedDomains.size === 0) return ids;
    const inOtherDomains = ids.filter(id => {
      const domain = this.options.findDomain(id);
      return domain === undefined || !avoidedDomains.has(domain);
    });
    return inOtherDomains.length > 0 ? inOtherDomains : ids;
  }

  /** Chooses the server of lowest cost from the sample and one prefix holder. */
  private pick(
    sampled: readonly BackendServerId[],
    request: TimedRequest,
  ): BackendServerId {
    const {prefix, candidates, nowMs} = request;
    const match = prefix && this.prefixes.find(prefix.model, prefix.hashes);
    const holders = match?.holders ?? [];
    const holder = pickOne(
      this.options.random,
      holders.filter(
        id => candidates.includes(id) && this.isEligible(id, request),
      ),
    );
    const costOf = (id: BackendServerId) =>
      (this.loads.get(id)?.cost(nowMs) ?? 0) -
      (match && holders.includes(id) ? match.fraction * PREFIX_WEIGHT : 0);
    const choices = holder === undefined ? sampled : [...sampled, holder];
    return choices.reduce((best, id) => {
      const difference = costOf(id) - costOf(best);
      const isBetter =
        difference < 0 ||
        (difference === 0 && this.isPreferredByDomain(id, best));
      return isBetter ? id : best;
    });
  }

  private isPreferredByDomain(
    id: BackendServerId,
    other: BackendServerId,
  ): boolean {
    const {options} = this;
    return (
      options.findDomain(id) === options.ownDomain &&
      options.findDomain(other) !== options.ownDomain
    );
  }

  /** Rotates by a random offset, so that servers of equal cost share the load. */
  private rotate(ids: readonly BackendServerId[]): BackendServerId[] {
    const start = this.options.random.nextInt(0, ids.length - 1);
    return [...ids.slice(start), ...ids.slice(0, start)];
  }

  private hasCapacity(
    id: BackendServerId,
    {requiresCapacity}: TimedRequest,
  ): boolean {
    const load = requiresCapacity ? this.loads.get(id) : undefined;
    return load?.hasCapacity ?? true;
  }

  private getOrCreateLoad(id: BackendServerId): ServerLoad {
    const existing = this.loads.get(id);
    if (existing) return existing;
    const load = new ServerLoad();
    this.loads.set(id, load);
    return load;
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}
