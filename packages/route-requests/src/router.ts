/** Chooses a backend server among those that can serve a request. */
import {type Clock} from '@mimosatack/clock';
import {type RandomSource} from '@mimosatack/random';
import {
  type BackendServerId,
  type FailureDomain,
  type LoadReport,
} from '@mimosatack/types';
import {CircuitTable} from './circuit_table.js';
import {LatencyPeers} from './latency_peers.js';
import {LeavingSet} from './leaving_set.js';
import {type PrefixCacheEvent, PrefixTable} from './prefix_table.js';
import {ServerLoad} from './server_load.js';

/** What a request needs of a backend server. */
export interface RouteRequest {
  candidates: readonly BackendServerId[];
  /** Backend servers that were tried already. */
  excluded: ReadonlySet<BackendServerId>;
  /** Failure domains to leave out while there is another choice. */
  avoidedDomains?: ReadonlySet<FailureDomain>;
  /** The model and the hashes of the prompt's first blocks. */
  prefix?: {model: string; hashes: readonly string[]};
  /** Whether a server that is full is no choice. */
  needsRoom?: boolean;
}

/** `full`: some would serve it later; `none`: none is there. */
export type RouteDecision =
  {status: 'chosen'; id: BackendServerId} | {status: 'full'} | {status: 'none'};

/** How a request went, as far as it tells something about the server. */
export type Outcome =
  | {status: 'answered'; group: string; firstByteMs: number}
  | {status: 'failed'}
  | {status: 'neutral'};

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
    this.openLoad(id).noteReport(load, this.nowMs());
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
   * Looks at two candidates at random, and at one that has the prompt's start
   * cached, and takes the least loaded. Taking the least loaded of all would
   * send every node with the same late reports to the same server.
   */
  route(request: RouteRequest): RouteDecision {
    const nowMs = this.nowMs();
    const usable = this.listUsable(request, nowMs);
    if (usable.length === 0) return {status: 'none'};
    const nodeCount = this.options.countNodes();
    const roomy = request.needsRoom
      ? usable.filter(id => this.hasRoom(id, nodeCount, nowMs))
      : usable;
    if (roomy.length === 0) return {status: 'full'};
    const id = this.chooseAmong(this.avoidDomains(roomy, request), request);
    return {status: 'chosen', id};
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

  private listUsable(request: RouteRequest, nowMs: number): BackendServerId[] {
    const present = request.candidates.filter(
      id => !request.excluded.has(id) && !this.leaving.has(id, nowMs),
    );
    const allowed = present.filter(id => this.circuits.allows(id, nowMs));
    return allowed.length > 0
      ? allowed
      : present.filter(id => this.circuits.isMerelySlow(id));
  }

  private avoidDomains(
    ids: BackendServerId[],
    {avoidedDomains}: RouteRequest,
  ): BackendServerId[] {
    if (!avoidedDomains || avoidedDomains.size === 0) return ids;
    const elsewhere = ids.filter(id => {
      const domain = this.options.findDomain(id);
      return domain === undefined || !avoidedDomains.has(domain);
    });
    return elsewhere.length > 0 ? elsewhere : ids;
  }

  private chooseAmong(
    ids: readonly BackendServerId[],
    {prefix}: RouteRequest,
  ): BackendServerId {
    const nowMs = this.nowMs();
    const match = prefix && this.prefixes.find(prefix.model, prefix.hashes);
    const holders = match?.holders.filter(id => ids.includes(id)) ?? [];
    const drawn = [...this.drawTwo(ids), ...this.drawTwo(holders).slice(0, 1)];
    const costOf = (id: BackendServerId) =>
      (this.loads.get(id)?.utilization(nowMs) ?? 0) -
      (match && holders.includes(id) ? match.fraction * PREFIX_WEIGHT : 0);
    return drawn.reduce((best, id) => {
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

  private drawTwo(ids: readonly BackendServerId[]): BackendServerId[] {
    if (ids.length <= 1) return [...ids];
    const first = this.options.random.nextInt(0, ids.length - 1);
    const step = this.options.random.nextInt(1, ids.length - 1);
    const second = (first + step) % ids.length;
    return [ids[first], ids[second]] as BackendServerId[];
  }

  private hasRoom(
    id: BackendServerId,
    nodeCount: number,
    nowMs: number,
  ): boolean {
    return this.loads.get(id)?.hasRoom(nodeCount, nowMs) ?? true;
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
