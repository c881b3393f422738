/** Bounded table of the models that requests outside events ask for. */
import {type DemandState} from './plan_demand.js';

interface DemandEntry {
  lastMissMs: number | null;
  lastUseMs: number | null;
  /** Time of the last miss by adapter, least recent first. */
  adapters: Map<string, number>;
}

const MAX_MODELS = 1_024;
const MAX_ADAPTERS_PER_MODEL = 8;
const NO_DEMAND: DemandState = {
  lastMissMs: null,
  lastUseMs: null,
  adapters: [],
};

/** Demand by model, as reported to this node, with LRU eviction. */
export class DemandTable {
  private readonly entries = new Map<string, DemandEntry>();

  get models(): string[] {
    return [...this.entries.keys()];
  }

  /**
   * Records a request that found no warm replica.
   *
   * @param modelText `model` or `model:adapter`.
   */
  recordMiss(modelText: string, nowMs: number): void {
    const [model = '', adapter] = modelText.split(':', 2);
    const entry = this.touch(model, nowMs);
    entry.lastMissMs = nowMs;
    if (adapter === undefined) return;
    entry.adapters.delete(adapter);
    entry.adapters.set(adapter, nowMs);
    const [oldest] = entry.adapters.keys();
    if (entry.adapters.size > MAX_ADAPTERS_PER_MODEL && oldest !== undefined) {
      entry.adapters.delete(oldest);
    }
  }

  /** Records a request for a model that runs or was sent. */
  recordUse(model: string, nowMs: number): void {
    this.touch(model, nowMs);
  }

  find(model: string): DemandState {
    const entry = this.entries.get(model);
    if (!entry) return NO_DEMAND;
    return {...entry, adapters: [...entry.adapters.keys()].toSorted()};
  }

  /** Removes models that were last requested before `sinceMs`. */
  evictBefore(sinceMs: number): void {
    [...this.entries]
      .filter(([, entry]) => (entry.lastUseMs ?? 0) < sinceMs)
      .forEach(([model]) => this.entries.delete(model));
  }

  /** Marks a model as most recently used and evicts above the limit. */
  private touch(model: string, nowMs: number): DemandEntry {
    const entry = this.entries.get(model) ?? {
      lastMissMs: null,
      lastUseMs: null,
      adapters: new Map<string, number>(),
    };
    entry.lastUseMs = nowMs;
    this.entries.delete(model);
    this.entries.set(model, entry);
    const [oldest] = this.entries.keys();
    if (this.entries.size > MAX_MODELS && oldest !== undefined) {
      this.entries.delete(oldest);
    }
    return entry;
  }
}
