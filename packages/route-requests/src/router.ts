/** Chooses a backend server among those that can serve a request. */
import {type Clock} from '@mimosatack/clock';
import {type RandomSource, pickOne} from '@mimosatack/random';
import {
  type BackendServerId,
  type FailureDomain,
  type LoadReport,
} from '@mimosatack/types';
import {CircuitTable} from './circuit_table.js';
import {LatencyPeers} from './latency_peers.js';
import {LeavingSet} from './leaving_set.js';
import {type PrefixCacheEvent, PrefixTable} from './prefix_table.js';
import {
  type Outcome,
  type RouteDecision,
  type RouteRequest,
} from './route_types.js';
import {ServerLoad} from './server_load.js';

/** What the router is built from. */
export interface RouterOptions {
  clock: Clock;
  random: RandomSource;
  ownDomain: FailureDomain;
  findDomain(id: BackendServerId): FailureDomain | undefined;
  /** How many nodes send to the same backend servers, this one included. */
  countNodes(): number;
  /** Told when a server is left out, and when it is used again. */
  onCircuit?(id: BackendServerId, state: 'open' | 'closed'): void;
}

/** How much load a wholly cached prompt outweighs, in units of capacity. */
const PREFIX_WEIGHT = 0.3;

/** Up to this many candidates are all looked at. */
const MAX_SCANNED = 16;
/** Of more candidates, this many are drawn. */
const DRAWN = 4;
/** With fewer that fit among those drawn, others are drawn. */
const MIN_FITTING = 2;
/** After this many draws all candidates are looked at. */
const ROUNDS = 3;

/** A request with the time of its decision. */
interface DatedRequest extends RouteRequest {
  nowMs: number;
}

/** Routes by corrected load, cached prefixes, circuits and leaving hosts. */
export class Router {
  readonly prefixes = new PrefixTable();
  private readonly loads = new Map<BackendServerId, ServerLoad>();
  private readonly leaving = new LeavingSet();
  private readonly circuits: CircuitTable;
  private readonly latencies = new LatencyPeers();

  constructor(private readonly options: RouterOptions) {
    this.circuits = new CircuitTable(options.random);
  }

  /** The backend servers that the host list shows as leaving. */
  setDraining(ids: readonly BackendServerId[]): void {
    this.leaving.setListed(ids);
  }

  /** Takes a hint from any side that a backend server is leaving. */
  noteLeaving(id: BackendServerId): boolean {
    return this.leaving.noteHint(id, this.nowMs());
  }

  isLeaving(id: BackendServerId): boolean {
    return this.leaving.has(id, this.nowMs());
  }

  /** Takes a load report that has just come in. */
  noteReport(id: BackendServerId, load: LoadReport): void {
    this.openLoad(id).noteReport(load, {
      nowMs: this.nowMs(),
      nodeCount: this.options.countNodes(),
      chance: this.options.random.nextFraction(),
    });
  }

  noteCacheEvents(
    id: BackendServerId,
    events: readonly PrefixCacheEvent[],
  ): void {
    this.prefixes.noteEvents(id, events, this.nowMs());
  }

  /** Forgets a backend server that is gone. */
  forget(id: BackendServerId): void {
    this.loads.delete(id);
    this.circuits.forget(id);
    this.latencies.forget(id);
    this.leaving.forget(id);
    this.prefixes.forget(id);
  }

  /** The chosen server, or null when there is none. */
  choose(request: RouteRequest): BackendServerId | null {
    const decision = this.route(request);
    return decision.status === 'chosen' ? decision.id : null;
  }

  /**
   * Looks at all of a few candidates, or at some of many drawn at random, and
   * at one that has the prompt's start cached, and takes the one with the
   * least cost. The cost rests on what this node knows exactly, its own
   * requests; see `ServerLoad` for why late reports count for little.
   */
  route(asked: RouteRequest): RouteDecision {
    const {candidates, excluded, avoidedDomains, prefix, needsRoom} = asked;
    const request: DatedRequest = {
      candidates,
      excluded,
      avoidedDomains,
      prefix,
      needsRoom,
      nowMs: this.nowMs(),
    };
    const sample = this.sample(request);
    if (sample) return {status: 'chosen', id: this.pick(sample, request)};
    const usable = this.listUsable(request);
    if (usable.length === 0) return {status: 'none'};
    const roomy = usable.filter(id => this.hasRoom(id, request));
    if (roomy.length === 0) return {status: 'full'};
    const drawn = this.rotate(this.avoidDomains(roomy, request));
    return {status: 'chosen', id: this.pick(drawn, request)};
  }

  noteSent(id: BackendServerId, prefix?: RouteRequest['prefix']): void {
    const nowMs = this.nowMs();
    this.openLoad(id).noteSent(nowMs);
    this.circuits.noteSent(id, nowMs);
    if (prefix) {
      this.prefixes.noteSent(id, prefix.model, prefix.hashes, nowMs);
    }
  }

  noteDone(id: BackendServerId, outcome: Outcome = {status: 'neutral'}): void {
    this.loads.get(id)?.noteDone(this.nowMs());
    this.noteOutcome(id, outcome);
  }

  /** Notes how a request goes before it is done, such as a late first byte. */
  noteOutcome(id: BackendServerId, outcome: Outcome): void {
    const nowMs = this.nowMs();
    if (outcome.status === 'neutral') return this.circuits.noteNeutral(id);
    if (outcome.status === 'failed') {
      if (this.circuits.noteFailure(id, nowMs)) this.tellOpened(id);
      return;
    }
    const {group, firstByteMs} = outcome;
    const state = this.circuits.findState(id, nowMs);
    // Sent before the circuit opened; its answer says nothing new.
    if (state === 'open') return;
    const isSlow =
      state === 'half-open'
        ? firstByteMs > this.latencies.slowLimitMs(group, id)
        : this.latencies.note(group, id, firstByteMs);
    if (isSlow) {
      if (this.circuits.noteSlow(id, nowMs)) this.tellOpened(id);
    } else if (this.circuits.noteSuccess(id)) {
      this.options.onCircuit?.(id, 'closed');
    }
  }

  /** When the first byte of an answer counts as late for its peers. */
  findSlowLimitMs(group: string, id: BackendServerId): number {
    return this.latencies.slowLimitMs(group, id);
  }

  private tellOpened(id: BackendServerId): void {
    // Judged anew by its probes, not by the samples that opened the circuit.
    this.latencies.forget(id);
    this.options.onCircuit?.(id, 'open');
  }

  /**
   * Some of many candidates, without a look at all of them. Null when there
   * are few, or when too few of those drawn were a choice.
   */
  private sample(request: DatedRequest): BackendServerId[] | null {
    const {candidates, avoidedDomains} = request;
    const isSmall = candidates.length <= MAX_SCANNED;
    if (isSmall || (avoidedDomains && avoidedDomains.size > 0)) return null;
    for (let round = 0; round < ROUNDS; round += 1) {
      const fitting = this.draw(candidates).filter(id =>
        this.isFitting(id, request),
      );
      if (fitting.length >= MIN_FITTING) return fitting;
    }
    return null;
  }

  private draw(candidates: readonly BackendServerId[]): BackendServerId[] {
    const {random} = this.options;
    return Array.from(
      {length: DRAWN},
      () =>
        candidates[random.nextInt(0, candidates.length - 1)] as BackendServerId,
    );
  }

  private isFitting(id: BackendServerId, request: DatedRequest): boolean {
    return (
      this.isPresent(id, request) &&
      this.circuits.allows(id, request.nowMs) &&
      this.hasRoom(id, request)
    );
  }

  private isPresent(id: BackendServerId, request: DatedRequest): boolean {
    return !request.excluded.has(id) && !this.leaving.has(id, request.nowMs);
  }

  private listUsable(request: DatedRequest): BackendServerId[] {
    const {nowMs} = request;
    const present = request.candidates.filter(id =>
      this.isPresent(id, request),
    );
    const allowed = present.filter(id => this.circuits.allows(id, nowMs));
    return allowed.length > 0
      ? allowed
      : present.filter(id => this.circuits.isMerelySlow(id));
  }

  private avoidDomains(
    ids: BackendServerId[],
    {avoidedDomains}: DatedRequest,
  ): BackendServerId[] {
    if (!avoidedDomains || avoidedDomains.size === 0) return ids;
    const elsewhere = ids.filter(id => {
      const domain = this.options.findDomain(id);
      return domain === undefined || !avoidedDomains.has(domain);
    });
    return elsewhere.length > 0 ? elsewhere : ids;
  }

  /** The least loaded of those drawn and of one that holds the prefix. */
  private pick(
    drawn: readonly BackendServerId[],
    request: DatedRequest,
  ): BackendServerId {
    const {prefix, candidates, nowMs} = request;
    const match = prefix && this.prefixes.find(prefix.model, prefix.hashes);
    const holders = match?.holders ?? [];
    const holder = pickOne(
      this.options.random,
      holders.filter(
        id => candidates.includes(id) && this.isFitting(id, request),
      ),
    );
    const costOf = (id: BackendServerId) =>
      (this.loads.get(id)?.cost(nowMs) ?? 0) -
      (match && holders.includes(id) ? match.fraction * PREFIX_WEIGHT : 0);
    const choices = holder === undefined ? drawn : [...drawn, holder];
    return choices.reduce((best, id) => {
      const difference = costOf(id) - costOf(best);
      const isBetter =
        difference < 0 || (difference === 0 && this.isNearer(id, best));
      return isBetter ? id : best;
    });
  }

  private isNearer(id: BackendServerId, other: BackendServerId): boolean {
    const {options} = this;
    return (
      options.findDomain(id) === options.ownDomain &&
      options.findDomain(other) !== options.ownDomain
    );
  }

  /** Begins at a random place, so that equals are taken in turn. */
  private rotate(ids: readonly BackendServerId[]): BackendServerId[] {
    const start = this.options.random.nextInt(0, ids.length - 1);
    return [...ids.slice(start), ...ids.slice(0, start)];
  }

  private hasRoom(id: BackendServerId, {needsRoom}: DatedRequest): boolean {
    const load = needsRoom ? this.loads.get(id) : undefined;
    return load?.hasRoom ?? true;
  }

  private openLoad(id: BackendServerId): ServerLoad {
    const known = this.loads.get(id);
    if (known) return known;
    const load = new ServerLoad();
    this.loads.set(id, load);
    return load;
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}
