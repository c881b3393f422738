/**
 * What this node has heard of the backend servers: hints that may be late or
 * wrong. Requests are routed by them; no promise depends on them.
 */
import {readBaseSlotId} from '@mimosatack/steward-orders';
import {
  type BackendServerId,
  type EngineState,
  type LoadReport,
} from '@mimosatack/types';

/** One report on a backend server, as its steward read it. */
export interface BackendReport {
  backendServerId: BackendServerId;
  /** Grows with every report of one engine, across stewards. */
  reportedAtMs: number;
  /** Null for plain services and for engines that do not answer. */
  engine: EngineState | null;
  load: LoadReport;
  isReachable: boolean;
}

/** A backend server that has a model warm. */
export interface WarmReplica {
  backendServerId: BackendServerId;
  slotId: string;
}

/** The newest report of each backend server, indexed by warm model. */
export class EngineBoard {
  private readonly reports = new Map<BackendServerId, BackendReport>();
  private readonly warm = new Map<string, Map<BackendServerId, WarmReplica>>();
  private readonly listeners: ((report: BackendReport) => void)[] = [];

  /** Calls `listener` with every report that is taken. */
  onChange(listener: (report: BackendReport) => void): void {
    this.listeners.push(listener);
  }

  find(id: BackendServerId): BackendReport | undefined {
    return this.reports.get(id);
  }

  list(): BackendReport[] {
    return [...this.reports.values()];
  }

  /** Takes a report unless a newer one is known. Returns whether it did. */
  note(report: BackendReport): boolean {
    const known = this.reports.get(report.backendServerId);
    if (known && known.reportedAtMs >= report.reportedAtMs) return false;
    this.forgetWarm(report.backendServerId);
    this.reports.set(report.backendServerId, report);
    if (report.engine) this.indexWarm(report.engine);
    this.listeners.forEach(listener => listener(report));
    return true;
  }

  forget(id: BackendServerId): void {
    this.forgetWarm(id);
    this.reports.delete(id);
  }

  /** The backend servers that have a model, and the adapter if any, warm. */
  listWarm(model: string, adapter: string | null): WarmReplica[] {
    return [...(this.warm.get(warmKey(model, adapter))?.values() ?? [])];
  }

  private indexWarm(engine: EngineState): void {
    engine.replicas
      .filter(replica => replica.status === 'warm')
      .forEach(replica => {
        const key = warmKey(replica.model, replica.adapter);
        const replicas = this.warm.get(key) ?? new Map<string, WarmReplica>();
        replicas.set(engine.backendServerId, {
          backendServerId: engine.backendServerId,
          slotId: readBaseSlotId(replica.slotId),
        });
        this.warm.set(key, replicas);
      });
  }

  private forgetWarm(id: BackendServerId): void {
    this.reports.get(id)?.engine?.replicas.forEach(replica => {
      const key = warmKey(replica.model, replica.adapter);
      const replicas = this.warm.get(key);
      replicas?.delete(id);
      if (replicas?.size === 0) this.warm.delete(key);
    });
  }
}

function warmKey(model: string, adapter: string | null): string {
  return adapter === null ? model : `${model}:${adapter}`;
}
