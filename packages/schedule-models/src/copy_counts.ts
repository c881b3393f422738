/** Counts how many engines hold each model. */
import {type ModelName} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';

/**
 * Caches the counts for one decision, so that they are not recomputed for each
 * eviction candidate.
 */
export class CopyCounts {
  private counts: Map<ModelName, number> | null = null;

  constructor(
    private readonly engines: readonly EngineView[],
    private readonly nowMs: number,
  ) {}

  /**
   * The number of engines that accept work and hold the model or are loading
   * it.
   */
  find(model: ModelName): number {
    this.counts ??= this.count();
    return this.counts.get(model) ?? 0;
  }

  /** Discards the counts after a load or unload has been ordered. */
  invalidate(): void {
    this.counts = null;
  }

  private count(): Map<ModelName, number> {
    const counts = new Map<ModelName, number>();
    this.engines
      .filter(engine => engine.acceptsWorkAt(this.nowMs))
      .forEach(engine =>
        engine.residents.forEach(({model, isUnloading}) => {
          if (!isUnloading) counts.set(model, (counts.get(model) ?? 0) + 1);
        }),
      );
    return counts;
  }
}
