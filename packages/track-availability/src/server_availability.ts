/** What backend servers say in their responses about taking further requests. */
import {type Clock} from '@mimosatack/clock';
import {type RandomSource} from '@mimosatack/random';
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServerStartMs,
  compareIncarnations,
} from '@mimosatack/types';
import {type AvailabilityReport} from './availability_messages.js';

/** What one response says. */
export interface AvailabilityFacts {
  isLeaving: boolean;
  /** How long the server wants no request of this host; null if it does not say. */
  pauseMs: number | null;
  /** Headers that cannot be read and are ignored. */
  invalidHeaders: readonly string[];
}

/** One incarnation of a backend server. */
export type ServerIncarnation = Pick<BackendServerEntry, 'id' | 'startedAtMs'>;

export interface ServerAvailabilityOptions {
  clock: Clock;
  random: RandomSource;
  onLeaving: (serverId: BackendServerId) => void;
  /** Called when the scheduling node has to be told of the server. */
  onChange: (serverId: BackendServerId) => void;
  /** Called when a pause begins, not when it is prolonged. */
  onPaused: (serverId: BackendServerId, pauseMs: number) => void;
  /** Called once for each incarnation of a server. */
  onInvalid: (serverId: BackendServerId, header: string) => void;
}

/** Bounds how long one response can keep a server out of use. */
const MAX_PAUSE_MS = 600_000;
/** Extends pauses at random, so that hosts do not return at the same moment. */
const MAX_JITTER_FRACTION = 0.1;
const MAX_JITTER_MS = 500;
/** Allows three ids for each server at the target size. */
const MAX_TRACKED_SERVERS = 2_000;

interface ServerState {
  startedAtMs: ServerStartMs;
  isLeaving: boolean;
  pausedUntilMs: number;
  isInvalidReported: boolean;
}

/** Keyed by server; a new incarnation of a server is available. */
export class ServerAvailability {
  private readonly states = new Map<BackendServerId, ServerState>();

  constructor(private readonly options: ServerAvailabilityOptions) {}

  get leavingCount(): number {
    return this.count(({isLeaving}) => isLeaving);
  }

  get pausedCount(): number {
    return this.count(state => this.findPauseMs(state) > 0);
  }

  isLeaving(server: ServerIncarnation): boolean {
    return this.findState(server)?.isLeaving ?? false;
  }

  /**
   * Time until this host may send the server a request: 0 if it may now, Infinity if it
   * may not until the server starts again.
   */
  findWaitMs(server: ServerIncarnation): number {
    const state = this.findState(server);
    if (!state) return 0;
    return state.isLeaving ? Infinity : this.findPauseMs(state);
  }

  /** What the scheduling node has to know of a server. */
  describe(serverId: BackendServerId): AvailabilityReport[] {
    const state = this.states.get(serverId);
    if (!state) return [];
    const {startedAtMs, isLeaving} = state;
    const pauseMs = this.findPauseMs(state);
    if (!isLeaving && pauseMs === 0) return [];
    return [{serverId, startedAtMs, isLeaving, pauseMs}];
  }

  /** What the scheduling node has to know of all servers. */
  list(): AvailabilityReport[] {
    return [...this.states.keys()].flatMap(id => this.describe(id));
  }

  /** Applies what holds for all hosts of what another one was told. */
  applyReported({serverId, startedAtMs, isLeaving}: AvailabilityReport): void {
    if (isLeaving) this.recordLeaving({id: serverId, startedAtMs});
  }

  /** Records what a response of the server says. */
  recordResponse(server: ServerIncarnation, facts: AvailabilityFacts): void {
    const {isLeaving, pauseMs, invalidHeaders} = facts;
    if (isLeaving) this.recordLeaving(server);
    if (pauseMs !== null && pauseMs > 0) this.recordPause(server, pauseMs);
    const [header] = invalidHeaders;
    if (header !== undefined) this.reportInvalid(server, header);
  }

  /** A server that is leaving stays so until its next incarnation. */
  private recordLeaving(server: ServerIncarnation): void {
    const state = this.getOrAddState(server);
    if (!state || state.isLeaving) return;
    state.isLeaving = true;
    this.options.onLeaving(server.id);
    this.options.onChange(server.id);
  }

  /** A later response prolongs a pause and does not shorten it. */
  private recordPause(server: ServerIncarnation, pauseMs: number): void {
    const {clock, random, onPaused, onChange} = this.options;
    const state = this.getOrAddState(server);
    if (!state) return;
    const boundedMs = Math.min(pauseMs, MAX_PAUSE_MS);
    const maxJitterMs = Math.min(
      boundedMs * MAX_JITTER_FRACTION,
      MAX_JITTER_MS,
    );
    const nowMs = clock.monotonicMs();
    const untilMs = nowMs + boundedMs + random.nextFraction() * maxJitterMs;
    const isBeginning = state.pausedUntilMs <= nowMs;
    state.pausedUntilMs = Math.max(state.pausedUntilMs, untilMs);
    if (isBeginning) onPaused(server.id, boundedMs);
    onChange(server.id);
  }

  private findPauseMs({pausedUntilMs}: ServerState): number {
    return Math.max(0, pausedUntilMs - this.options.clock.monotonicMs());
  }

  private reportInvalid(server: ServerIncarnation, header: string): void {
    const state = this.getOrAddState(server);
    if (!state || state.isInvalidReported) return;
    state.isInvalidReported = true;
    this.options.onInvalid(server.id, header);
  }

  private count(matches: (state: ServerState) => boolean): number {
    return [...this.states.values()].filter(matches).length;
  }

  /** Undefined for an incarnation that has said nothing yet. */
  private findState({
    id,
    startedAtMs,
  }: ServerIncarnation): ServerState | undefined {
    const state = this.states.get(id);
    if (!state) return undefined;
    const order = compareIncarnations(startedAtMs, state.startedAtMs);
    if (order === 'same') state.startedAtMs ??= startedAtMs;
    return order === 'later' ? undefined : state;
  }

  /** Null for a late response of an earlier incarnation. */
  private getOrAddState({
    id,
    startedAtMs,
  }: ServerIncarnation): ServerState | null {
    const known = this.states.get(id);
    const order = known && compareIncarnations(startedAtMs, known.startedAtMs);
    if (order === 'earlier') return null;
    if (known && order === 'same') {
      known.startedAtMs ??= startedAtMs;
      return known;
    }
    const added: ServerState = {
      ...{startedAtMs, isLeaving: false, pausedUntilMs: -Infinity},
      isInvalidReported: false,
    };
    this.states.delete(id);
    this.states.set(id, added);
    this.removeOldest();
    return added;
  }

  private removeOldest(): void {
    const [oldest] = this.states.keys();
    if (this.states.size <= MAX_TRACKED_SERVERS || oldest === undefined) return;
    this.states.delete(oldest);
  }
}
