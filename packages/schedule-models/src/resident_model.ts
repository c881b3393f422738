/** A model in the accelerator memory of one engine. */
import {type AdapterName, type ModelName} from '@mimosatack/types';

/** An adapter on it. */
export interface LoadedAdapter {
  name: AdapterName;
  /** When it can be used; the time of its load is short and known. */
  readyAtMs: number;
  lastUsedAtMs: number;
  runs: number;
}

/** A model that is loaded, being loaded or being unloaded. */
export class Residency {
  readonly adapters = new Map<AdapterName, LoadedAdapter>();
  /** Requests that were assigned to it and have not ended. */
  runs = 0;
  isLeaving = false;
  lastUsedAtMs: number;

  constructor(
    readonly model: ModelName,
    readonly memoryMb: number,
    /** When requests for it are taken. */
    public readyAtMs: number,
  ) {
    this.lastUsedAtMs = readyAtMs;
  }

  isReady(nowMs: number): boolean {
    return !this.isLeaving && this.readyAtMs <= nowMs;
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

  noteStart(adapter: AdapterName | null, nowMs: number): void {
    this.runs += 1;
    this.lastUsedAtMs = nowMs;
    const used = adapter === null ? undefined : this.adapters.get(adapter);
    if (!used) return;
    used.runs += 1;
    used.lastUsedAtMs = nowMs;
  }

  noteEnd(adapter: AdapterName | null, nowMs: number): void {
    this.runs = Math.max(0, this.runs - 1);
    this.lastUsedAtMs = nowMs;
    const used = adapter === null ? undefined : this.adapters.get(adapter);
    if (!used) return;
    used.runs = Math.max(0, used.runs - 1);
    used.lastUsedAtMs = nowMs;
  }
}
