/** The limits that backend servers name in their responses. */
import {type Clock} from '@mimosatack/clock';
import {
  type BackendServerId,
  type ServerStartMs,
  compareIncarnations,
} from '@mimosatack/types';
import {type LimitEntry} from './limit_messages.js';

/** Requests per second that a server accepts; null if it names no limit. */
export type RequestRate = number | null;

/** A response may also name a limit that cannot be read. */
export type NamedLimit = RequestRate | 'invalid';

/** One incarnation of a backend server. */
export interface ServerIncarnation {
  id: BackendServerId;
  startedAtMs: ServerStartMs;
}

export interface LimitChange {
  serverId: BackendServerId;
  perSecond: RequestRate;
  previousPerSecond: RequestRate;
}

export interface ServerLimitsOptions {
  clock: Clock;
  onChange: (change: LimitChange) => void;
  onInvalid: (serverId: BackendServerId) => void;
}

/**
 * A limit is lifted by a response without one only this long after the last one
 * that named it: responses of several connections overtake each other.
 */
const LIFT_DELAY_MS = 1_000;

/** Time after the last response that was recorded. */
const FORGET_AFTER_MS = 600_000;

interface LimitState {
  startedAtMs: ServerStartMs;
  perSecond: RequestRate;
  namedAtMs: number;
  lastHeardAtMs: number;
  changedAtMs: number;
  isInvalidReported: boolean;
}

/** Limits by server; a new incarnation of a server has none. */
export class ServerLimits {
  private readonly states = new Map<BackendServerId, LimitState>();
  private changeCount = 0;

  constructor(private readonly options: ServerLimitsOptions) {}

  find({id, startedAtMs}: ServerIncarnation): RequestRate {
    const state = this.states.get(id);
    if (!state) return null;
    const order = compareIncarnations(startedAtMs, state.startedAtMs);
    return order === 'later' ? null : state.perSecond;
  }

  /** The number of servers that name a limit. */
  get limitedCount(): number {
    return [...this.states.values()].filter(({perSecond}) => perSecond !== null)
      .length;
  }

  /** Increases with each change. */
  get version(): number {
    return this.changeCount;
  }

  /** The limits and the lifted ones, for other processes. */
  list(): LimitEntry[] {
    const nowMs = this.options.clock.monotonicMs();
    return [...this.states]
      .filter(([, {changedAtMs}]) => Number.isFinite(changedAtMs))
      .map(([serverId, {startedAtMs, perSecond, changedAtMs}]) => ({
        ...{serverId, startedAtMs, perSecond},
        ageMs: nowMs - changedAtMs,
      }));
  }

  /** Applies what another process knows, unless this one knows of a later change. */
  applyReported({serverId, startedAtMs, perSecond, ageMs}: LimitEntry): void {
    const state = this.getOrAddState({id: serverId, startedAtMs});
    const atMs = this.options.clock.monotonicMs() - ageMs;
    if (!state || atMs <= state.changedAtMs) return;
    state.lastHeardAtMs = Math.max(state.lastHeardAtMs, atMs);
    if (perSecond !== null) state.namedAtMs = Math.max(state.namedAtMs, atMs);
    this.change(serverId, state, perSecond, atMs);
  }

  /** Records what a response of the server says. */
  recordResponse(server: ServerIncarnation, named: NamedLimit): void {
    if (named === 'invalid') return this.reportInvalid(server);
    const state = this.states.get(server.id);
    if (!state && named === null) return;
    const nowMs = this.options.clock.monotonicMs();
    const known = this.getOrAddState(server);
    if (!known) return;
    known.lastHeardAtMs = nowMs;
    if (named !== null) known.namedAtMs = nowMs;
    else if (nowMs - known.namedAtMs < LIFT_DELAY_MS) return;
    this.change(server.id, known, named, nowMs);
  }

  private change(
    serverId: BackendServerId,
    state: LimitState,
    perSecond: RequestRate,
    atMs: number,
  ): void {
    const previousPerSecond = state.perSecond;
    if (perSecond === previousPerSecond) return;
    Object.assign(state, {perSecond, changedAtMs: atMs});
    this.changeCount += 1;
    this.options.onChange({serverId, perSecond, previousPerSecond});
  }

  /** Reports once per incarnation. */
  private reportInvalid(server: ServerIncarnation): void {
    const state = this.getOrAddState(server);
    if (!state || state.isInvalidReported) return;
    state.isInvalidReported = true;
    this.options.onInvalid(server.id);
  }

  /** Null for a late response of an earlier incarnation. */
  private getOrAddState(server: ServerIncarnation): LimitState | null {
    const {id, startedAtMs} = server;
    const known = this.states.get(id);
    const order = known && compareIncarnations(startedAtMs, known.startedAtMs);
    if (order === 'earlier') return null;
    if (known && order === 'same') return known;
    const added: LimitState = {
      ...{startedAtMs, perSecond: null, isInvalidReported: false},
      ...{namedAtMs: -Infinity, changedAtMs: -Infinity},
      lastHeardAtMs: this.options.clock.monotonicMs(),
    };
    this.removeOld();
    this.states.set(id, added);
    return added;
  }

  /** Servers that are gone are not removed at once: their entries may lapse. */
  private removeOld(): void {
    const sinceMs = this.options.clock.monotonicMs() - FORGET_AFTER_MS;
    [...this.states]
      .filter(([, {lastHeardAtMs}]) => lastHeardAtMs < sinceMs)
      .forEach(([id]) => this.states.delete(id));
  }
}
