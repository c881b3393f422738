/** The key of a model in maps; its name is unique within its service alone. */
import {type ModelName, type ServiceName} from '@mimosatack/types';

export function toModelKey(service: ServiceName, model: ModelName): string {
  return `${service}/${model}`;
}
