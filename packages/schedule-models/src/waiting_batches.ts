/** Groups waiting requests by model. */
import {toModelKey} from './model_key.js';
import {type ScheduledRequest} from './scheduled_request.js';
import {type Batch} from './swap_policy.js';

/** Returns one batch for each model and keeps the order of the requests. */
export function groupBatches(requests: readonly ScheduledRequest[]): Batch[] {
  const groups = new Map<string, ScheduledRequest[]>();
  requests.forEach(request => {
    const key = toModelKey(request.service, request.model);
    const group = groups.get(key);
    if (group) group.push(request);
    else groups.set(key, [request]);
  });
  return [...groups.values()].flatMap(group => {
    const [first] = group;
    if (!first) return [];
    return [{service: first.service, model: first.model, requests: group}];
  });
}
