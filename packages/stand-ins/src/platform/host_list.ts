/** The platform's lagging host list without its HTTP server. */
import {type Clock} from '@mimosatack/clock';
import {type HostEntry, type HostId} from '@mimosatack/types';
import {FaultSet} from '../shared/fault_set.js';
import {NO_PLATFORM_FAULTS, type PlatformFaults} from './log_service.js';

/** Faults of the host list. */
export interface HostListFaults extends PlatformFaults {
  /** Delay before a new change becomes visible. */
  lagMs: number;
}

/** One change of a host; a null entry means that it was removed. */
export interface HostChange {
  hostId: HostId;
  entry: HostEntry | null;
  atMs: number;
  /** When the change becomes visible in `GET /v1/hosts`. */
  visibleAtMs: number;
}

/** The actual hosts, and the delayed list that callers see. */
export class HostListStandIn {
  readonly faults: FaultSet<HostListFaults>;
  private changes: HostChange[] = [];
  private pending: HostChange[] = [];
  private readonly visible = new Map<HostId, HostEntry>();
  private readonly actual = new Map<HostId, HostEntry>();

  constructor(
    private readonly clock: Clock,
    lagMs = 0,
  ) {
    this.faults = new FaultSet({...NO_PLATFORM_FAULTS, lagMs});
  }

  /** Adds or replaces the entry of a host. */
  put(entry: HostEntry): void {
    this.actual.set(entry.hostId, entry);
    this.recordChange(entry.hostId, entry);
  }

  remove(hostId: HostId): void {
    this.actual.delete(hostId);
    this.recordChange(hostId, null);
  }

  /** Sets the state of a host; ignores an unknown id. */
  setState(hostId: HostId, state: HostEntry['state']): void {
    const entry = this.actual.get(hostId);
    if (entry) this.put({...entry, state});
  }

  /** The hosts that are visible to callers now. */
  listHosts(): HostEntry[] {
    const nowMs = this.clock.wallMs();
    const due = this.pending.filter(change => change.visibleAtMs <= nowMs);
    this.pending = this.pending.filter(change => change.visibleAtMs > nowMs);
    due
      .sort((a, b) => a.visibleAtMs - b.visibleAtMs)
      .forEach(({hostId, entry}) => {
        if (entry) this.visible.set(hostId, entry);
        else this.visible.delete(hostId);
      });
    return [...this.visible.values()];
  }

  observe(): {
    actual: HostEntry[];
    visible: HostEntry[];
    changes: HostChange[];
  } {
    return {
      actual: [...this.actual.values()],
      visible: this.listHosts(),
      changes: this.changes,
    };
  }

  resetObservation(): void {
    this.changes = [];
  }

  private recordChange(hostId: HostId, entry: HostEntry | null): void {
    const atMs = this.clock.wallMs();
    const visibleAtMs = atMs + this.faults.values.lagMs;
    const change = {hostId, entry, atMs, visibleAtMs};
    this.changes.push(change);
    this.pending.push(change);
  }
}
