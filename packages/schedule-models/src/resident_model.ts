import {type AdapterName, type ModelName} from '@mimosatack/types';

export interface LoadedAdapter {
  name: AdapterName;
  /** When the adapter can be used. */
  readyAtMs: number;
  lastUsedAtMs: number;
  runs: number;
}

/**
 * A model in the accelerator memory of an engine: loaded, loading or unloading.
 */
export class ResidentModel {
  readonly adapters = new Map<AdapterName, LoadedAdapter>();
  /** Number of unfinished requests that are assigned to the model. */
  runs = 0;
  isUnloading = false;
  lastUsedAtMs: number;

  constructor(
    readonly model: ModelName,
    readonly memoryMb: number,
    /** When the engine accepts requests for the model. */
    public readyAtMs: number,
  ) {
    this.lastUsedAtMs = readyAtMs;
  }

  isReady(nowMs: number): boolean {
    return !this.isUnloading && this.readyAtMs <= nowMs;
  }

  hasAdapter(name: AdapterName | null, nowMs: number): boolean {
    if (name === null) return true;
    const adapter = this.adapters.get(name);
    return adapter !== undefined && adapter.readyAtMs <= nowMs;
  }

  addAdapter(name: AdapterName, readyAtMs: number): void {
    this.adapters.set(name, {
      ...{name, readyAtMs, lastUsedAtMs: readyAtMs, runs: 0},
    });
  }

  recordStart(adapter: AdapterName | null, nowMs: number): void {
    this.runs += 1;
    this.lastUsedAtMs = nowMs;
    const used = adapter === null ? undefined : this.adapters.get(adapter);
    if (!used) return;
    used.runs += 1;
    used.lastUsedAtMs = nowMs;
  }

  recordEnd(adapter: AdapterName | null, nowMs: number): void {
    this.runs = Math.max(0, this.runs - 1);
    this.lastUsedAtMs = nowMs;
    const used = adapter === null ? undefined : this.adapters.get(adapter);
    if (!used) return;
    used.runs = Math.max(0, used.runs - 1);
    used.lastUsedAtMs = nowMs;
  }
}
