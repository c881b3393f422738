/** The platform's lagging host list without its HTTP server. */
import {type Clock} from '@mimosatack/clock';
import {type HostEntry, type HostId} from '@mimosatack/types';
import {FaultSet} from '../shared/fault_set.js';
import {NO_PLATFORM_FAULTS, type PlatformFaults} from './log_service.js';

/** Faults of the host list. */
export interface HostListFaults extends PlatformFaults {
  /** How long a change made from now on stays unseen. */
  lagMs: number;
}

/** One change of the truth; a null entry means that the host is gone. */
export interface HostChange {
  hostId: HostId;
  entry: HostEntry | null;
  atMs: number;
  /** When `GET /v1/hosts` begins to show it. */
  visibleAtMs: number;
}

/** The hosts as they are, and as the list shows them. */
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

  /** Adds a host or replaces what is said of it. */
  put(entry: HostEntry): void {
    this.actual.set(entry.hostId, entry);
    this.change(entry.hostId, entry);
  }

  remove(hostId: HostId): void {
    this.actual.delete(hostId);
    this.change(hostId, null);
  }

  /** Marks a host as live or leaving; an unknown one is left alone. */
  setState(hostId: HostId, state: HostEntry['state']): void {
    const entry = this.actual.get(hostId);
    if (entry) this.put({...entry, state});
  }

  /** The list as a caller sees it now. */
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

  private change(hostId: HostId, entry: HostEntry | null): void {
    const atMs = this.clock.wallMs();
    const visibleAtMs = atMs + this.faults.values.lagMs;
    const change = {hostId, entry, atMs, visibleAtMs};
    this.changes.push(change);
    this.pending.push(change);
  }
}
