/** What waits ahead of a request in the queue of its team and priority. */
import {type ModelName} from '@mimosatack/types';
import {type ScheduledRequest} from './scheduled_request.js';
import {toItem} from './waiting_requests.js';

/** Filled in the order in which requests get capacity, so that each is counted once. */
export class AheadCosts {
  private readonly classes = new Map<string, Map<ModelName, number>>();

  add(request: ScheduledRequest): void {
    const key = toClassKey(request);
    const costs = this.classes.get(key) ?? new Map<ModelName, number>();
    this.classes.set(key, costs);
    const before = costs.get(request.model) ?? 0;
    costs.set(request.model, before + toItem(request).cost);
  }

  /** The cost of the requests for the models that are ahead of the request. */
  sum(request: ScheduledRequest, models: readonly ModelName[]): number {
    const costs = this.classes.get(toClassKey(request));
    return models.reduce((sum, model) => sum + (costs?.get(model) ?? 0), 0);
  }
}

function toClassKey({service, team, priority}: ScheduledRequest): string {
  return JSON.stringify([service, team, priority]);
}
