/** Groups waiting requests by model and software version. */
import {toModelKey} from './model_key.js';
import {type ScheduledRequest} from './scheduled_request.js';
import {type Batch} from './swap_policy.js';

/**
 * Returns one batch for each model and required software version, and keeps the order of
 * the requests.
 */
export function groupBatches(requests: readonly ScheduledRequest[]): Batch[] {
  const groups = new Map<string, ScheduledRequest[]>();
  requests.forEach(request => {
    const {service, model, softwareVersion} = request;
    const key = JSON.stringify([toModelKey(service, model), softwareVersion]);
    const group = groups.get(key);
    if (group) group.push(request);
    else groups.set(key, [request]);
  });
  return [...groups.values()].flatMap(group => {
    const [first] = group;
    if (!first) return [];
    const {service, model, softwareVersion} = first;
    return [{service, model, softwareVersion, requests: group}];
  });
}
