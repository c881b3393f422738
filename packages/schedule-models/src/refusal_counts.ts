/** Counts recent refusals by model. */
import {type ModelName, type ServiceName} from '@mimosatack/types';
import {toModelKey} from './model_key.js';

/**
 * Guards against a model that is never served because its small batches always
 * rank behind larger ones. Each refusal raises the rank of its next batch.
 */
export class RefusalCounts {
  private readonly counts = new Map<string, number>();

  recordRefusal(service: ServiceName, model: ModelName): void {
    const key = toModelKey(service, model);
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }

  reset(service: ServiceName, model: ModelName): void {
    this.counts.delete(toModelKey(service, model));
  }

  get modelCount(): number {
    return this.counts.size;
  }

  /** The number of requests refused since the model was last served. */
  count(service: ServiceName, model: ModelName): number {
    return this.counts.get(toModelKey(service, model)) ?? 0;
  }
}
