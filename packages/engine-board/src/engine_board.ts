/**
 * Caches reports on backend servers for request routing. Reports may be late or
 * wrong, so correctness must not depend on them.
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

/** The newest report on each backend server, indexed by warm model. */
export class EngineBoard {
  private readonly entries = new Map<BackendServerId, BoardEntry>();
  private readonly warmIndex = new Map<
    string,
    Map<BackendServerId, WarmReplica>
  >();
  private readonly warmKeys = new Map<BackendServerId, string[]>();
  private readonly listeners: ((report: BackendReport) => void)[] = [];

  /** @param slots resolves the hashes of warm slots. */
  constructor(private readonly slots: SlotLookup = EMPTY_LOOKUP) {}

  /** Calls `listener` with each updated report. */
  onChange(listener: (report: BackendReport) => void): void {
    this.listeners.push(listener);
  }

  find(id: BackendServerId): BackendReport | undefined {
    return this.entries.get(id)?.report;
  }

  list(): BackendReport[] {
    return [...this.entries.values()].map(entry => entry.report);
  }

  /** Backend servers where a model, with its adapter if any, is warm. */
  listWarm(model: string, adapter: string | null): WarmReplica[] {
    return [
      ...(this.warmIndex.get(makeWarmKey(model, adapter))?.values() ?? []),
    ];
  }

  /**
   * Applies a full report; returns false if a newer one is known.
   *
   * @param nowMs monotonic; a report with a version goes stale unless another
   *     report from its steward follows.
   */
  applyReport(report: BackendReport, nowMs: number | null = null): boolean {
    const id = report.backendServerId;
    return this.updateEntry(
      id,
      entry => entry.applyReport(report, nowMs),
      true,
    );
  }

  /** Applies a warm state; returns false if a newer one is known. */
  applyStatus(status: EngineStatus, nowMs: number): boolean {
    const id = status.backendServerId;
    return this.updateEntry(
      id,
      entry => entry.applyStatus(status, nowMs),
      true,
    );
  }

  /** Applies a load sample; returns false if a newer one is known. */
  applyLoad(sample: LoadSample, ageMs: number, nowMs: number): boolean {
    return this.updateEntry(
      sample.backendServerId,
      entry => entry.applyLoad(sample, ageMs, nowMs),
      false,
    );
  }

  /** Applies a full engine state fetched from the engine's steward. */
  applyEngine(engine: EngineState, version: ReportVersion): boolean {
    const id = engine.backendServerId;
    return this.updateEntry(
      id,
      entry => entry.applyEngine(engine, version),
      true,
    );
  }

  /** Whether the full engine state is at least as new as the warm state. */
  isEngineCurrent(id: BackendServerId): boolean {
    return this.entries.get(id)?.isEngineCurrent ?? false;
  }

  /**
   * Guards against routing by the last report of a frozen steward: reachability
   * becomes undefined, so that routers rely on their own observations.
   */
  expire(nowMs: number, staleAfterMs: number): void {
    [...this.entries.keys()].forEach(id =>
      this.updateEntry(id, entry => entry.expire(nowMs, staleAfterMs), false),
    );
  }

  /** Resolves warm slots again after a change of the agreed state. */
  reindexWarm(): void {
    this.entries.forEach((entry, id) => {
      if (entry.status) this.indexWarm(id, entry);
    });
  }

  remove(id: BackendServerId): void {
    this.unindexWarm(id);
    this.entries.delete(id);
  }

  private updateEntry(
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
    this.unindexWarm(id);
    const keys = this.listWarmKeys(id, entry);
    keys.forEach(({key, slotId}) => {
      const replicas =
        this.warmIndex.get(key) ?? new Map<string, WarmReplica>();
      replicas.set(id, {backendServerId: id, slotId});
      this.warmIndex.set(key, replicas);
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
          key: makeWarmKey(replica.model, replica.adapter),
          slotId: readBaseSlotId(replica.slotId),
        }));
    }
    if (!status.isReachable) return [];
    const warmSlots = new Set(status.warmSlots);
    return this.slots
      .listContents(id)
      .filter(content => warmSlots.has(hashText(content.engineSlotId)))
      .map(({model, adapter, slotId}) => ({
        key: makeWarmKey(model, adapter),
        slotId,
      }));
  }

  private unindexWarm(id: BackendServerId): void {
    this.warmKeys.get(id)?.forEach(key => {
      const replicas = this.warmIndex.get(key);
      replicas?.delete(id);
      if (replicas?.size === 0) this.warmIndex.delete(key);
    });
    this.warmKeys.delete(id);
  }
}

function makeWarmKey(model: string, adapter: string | null): string {
  return adapter === null ? model : `${model}:${adapter}`;
}
