/**
 * What this node has heard of the backend servers: hints that may be late or
 * wrong. Requests are routed by them; no promise depends on them.
 */
import {readBaseSlotId} from '@mimosatack/steward-orders';
import {type BackendServerId, type EngineState} from '@mimosatack/types';
import {BoardEntry} from './board_entry.js';
import {
  type BackendReport,
  type EngineStatus,
  type LoadSample,
  type ReportVersion,
  type SlotLookup,
  type WarmReplica,
  hashText,
} from './report.js';

const EMPTY_LOOKUP: SlotLookup = {listContents: () => []};

interface WarmKey {
  key: string;
  slotId: string;
}

/** The newest news of each backend server, indexed by warm model. */
export class EngineBoard {
  private readonly entries = new Map<BackendServerId, BoardEntry>();
  private readonly warm = new Map<string, Map<BackendServerId, WarmReplica>>();
  private readonly warmKeys = new Map<BackendServerId, string[]>();
  private readonly listeners: ((report: BackendReport) => void)[] = [];

  /** @param slots what the hashes of warm slots stand for. */
  constructor(private readonly slots: SlotLookup = EMPTY_LOOKUP) {}

  /** Calls `listener` with every report that is taken. */
  onChange(listener: (report: BackendReport) => void): void {
    this.listeners.push(listener);
  }

  find(id: BackendServerId): BackendReport | undefined {
    return this.entries.get(id)?.report;
  }

  list(): BackendReport[] {
    return [...this.entries.values()].map(entry => entry.report);
  }

  /** The backend servers that have a model, and the adapter if any, warm. */
  listWarm(model: string, adapter: string | null): WarmReplica[] {
    return [...(this.warm.get(warmKey(model, adapter))?.values() ?? [])];
  }

  /**
   * Takes a whole report unless a newer one is known. Returns whether it did.
   *
   * @param nowMs monotonic; a report with a version goes stale if no other
   *     news of its steward follows.
   */
  note(report: BackendReport, nowMs: number | null = null): boolean {
    const id = report.backendServerId;
    return this.change(id, entry => entry.noteReport(report, nowMs), true);
  }

  /** Takes a warm state unless a newer one is known. */
  noteStatus(status: EngineStatus, nowMs: number): boolean {
    const id = status.backendServerId;
    return this.change(id, entry => entry.noteStatus(status, nowMs), true);
  }

  /** Takes a load unless a newer one is known. */
  noteLoad(sample: LoadSample, ageMs: number, nowMs: number): boolean {
    return this.change(
      sample.backendServerId,
      entry => entry.noteLoad(sample, ageMs, nowMs),
      false,
    );
  }

  /** Takes the whole state of an engine as its steward told it on request. */
  noteEngine(engine: EngineState, version: ReportVersion): boolean {
    const id = engine.backendServerId;
    return this.change(id, entry => entry.noteEngine(engine, version), true);
  }

  /** Whether the whole state of the engine is known as it is now. */
  isEngineCurrent(id: BackendServerId): boolean {
    return this.entries.get(id)?.isEngineCurrent ?? false;
  }

  /**
   * Guards against a frozen steward whose last report would hold for ever:
   * what was not confirmed for that long counts as not known, and routers go
   * by what they see themselves.
   */
  expire(nowMs: number, staleAfterMs: number): void {
    [...this.entries.keys()].forEach(id =>
      this.change(id, entry => entry.expire(nowMs, staleAfterMs), false),
    );
  }

  /** Looks slots up again after the agreed state has moved on. */
  refreshSlots(): void {
    this.entries.forEach((entry, id) => {
      if (entry.status) this.indexWarm(id, entry);
    });
  }

  forget(id: BackendServerId): void {
    this.forgetWarm(id);
    this.entries.delete(id);
  }

  private change(
    id: BackendServerId,
    apply: (entry: BoardEntry) => boolean,
    isWarmChanged: boolean,
  ): boolean {
    const entry = this.entries.get(id) ?? new BoardEntry(id);
    if (!apply(entry)) return false;
    this.entries.set(id, entry);
    if (isWarmChanged) this.indexWarm(id, entry);
    this.listeners.forEach(listener => listener(entry.report));
    return true;
  }

  private indexWarm(id: BackendServerId, entry: BoardEntry): void {
    this.forgetWarm(id);
    const keys = this.listWarmKeys(id, entry);
    keys.forEach(({key, slotId}) => {
      const replicas = this.warm.get(key) ?? new Map<string, WarmReplica>();
      replicas.set(id, {backendServerId: id, slotId});
      this.warm.set(key, replicas);
    });
    if (keys.length > 0) {
      this.warmKeys.set(
        id,
        keys.map(({key}) => key),
      );
    }
  }

  private listWarmKeys(id: BackendServerId, entry: BoardEntry): WarmKey[] {
    const {status, report} = entry;
    if (!status || (entry.isEngineCurrent && report.engine)) {
      return (report.engine?.replicas ?? [])
        .filter(replica => replica.status === 'warm')
        .map(replica => ({
          key: warmKey(replica.model, replica.adapter),
          slotId: readBaseSlotId(replica.slotId),
        }));
    }
    if (!status.isReachable) return [];
    const warmSlots = new Set(status.warmSlots);
    return this.slots
      .listContents(id)
      .filter(content => warmSlots.has(hashText(content.engineSlotId)))
      .map(({model, adapter, slotId}) => ({
        key: warmKey(model, adapter),
        slotId,
      }));
  }

  private forgetWarm(id: BackendServerId): void {
    this.warmKeys.get(id)?.forEach(key => {
      const replicas = this.warm.get(key);
      replicas?.delete(id);
      if (replicas?.size === 0) this.warm.delete(key);
    });
    this.warmKeys.delete(id);
  }
}

function warmKey(model: string, adapter: string | null): string {
  return adapter === null ? model : `${model}:${adapter}`;
}
