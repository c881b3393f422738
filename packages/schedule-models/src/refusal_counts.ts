/** Which models were asked for and not served lately. */
import {type ModelName, type ServiceName} from '@mimosatack/types';
import {toModelKey} from './model_key.js';

/**
 * Guards against a model that is never served: its batches are small, so they
 * rank behind larger ones for as long as those keep coming, and each of its
 * requests is refused in turn. Every refusal raises the rank of the next one.
 */
export class MissedModels {
  private readonly misses = new Map<string, number>();

  noteRefused(service: ServiceName, model: ModelName): void {
    const key = toModelKey(service, model);
    this.misses.set(key, (this.misses.get(key) ?? 0) + 1);
  }

  noteServed(service: ServiceName, model: ModelName): void {
    this.misses.delete(toModelKey(service, model));
  }

  get modelCount(): number {
    return this.misses.size;
  }

  /** Requests refused since the model was last served. */
  count(service: ServiceName, model: ModelName): number {
    return this.misses.get(toModelKey(service, model)) ?? 0;
  }
}
