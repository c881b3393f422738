/** Which models requests outside events ask for; hints in bounded memory. */
import {type DemandState} from './plan_demand.js';

interface DemandEntry {
  lastMissMs: number | null;
  lastUseMs: number | null;
  /** When each adapter was last asked for. */
  adapters: Map<string, number>;
}

const MAX_MODELS = 1_024;
const MAX_ADAPTERS = 8;
const NO_DEMAND: DemandState = {
  lastMissMs: null,
  lastUseMs: null,
  adapters: [],
};

/** The demand for each model, as far as this node was told. */
export class DemandTable {
  private readonly entries = new Map<string, DemandEntry>();

  get models(): string[] {
    return [...this.entries.keys()];
  }

  /** A request for `model` or `model:adapter` found no warm replica. */
  noteMiss(modelText: string, nowMs: number): void {
    const [model = '', adapter] = modelText.split(':', 2);
    const entry = this.touch(model, nowMs);
    entry.lastMissMs = nowMs;
    if (adapter === undefined) return;
    entry.adapters.delete(adapter);
    entry.adapters.set(adapter, nowMs);
    const [oldest] = entry.adapters.keys();
    if (entry.adapters.size > MAX_ADAPTERS && oldest !== undefined) {
      entry.adapters.delete(oldest);
    }
  }

  /** A request for a model runs or was sent. */
  noteUse(model: string, nowMs: number): void {
    this.touch(model, nowMs);
  }

  find(model: string): DemandState {
    const entry = this.entries.get(model);
    if (!entry) return NO_DEMAND;
    return {...entry, adapters: [...entry.adapters.keys()].toSorted()};
  }

  /** Forgets what was last asked for before `sinceMs`. */
  forgetBefore(sinceMs: number): void {
    [...this.entries]
      .filter(([, entry]) => (entry.lastUseMs ?? 0) < sinceMs)
      .forEach(([model]) => this.entries.delete(model));
  }

  /** Moves a model to the end, which is the order of forgetting. */
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
