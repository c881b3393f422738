/** Map key of a model, whose name is unique only within its service. */
import {type ModelName, type ServiceName} from '@mimosatack/types';

export function toModelKey(service: ServiceName, model: ModelName): string {
  return `${service}/${model}`;
}
