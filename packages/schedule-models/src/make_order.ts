/** Makes the order that is due next at an engine. */
import {type AdapterName, type ModelName} from '@mimosatack/types';
import {type WeightTier} from './cached_weights.js';
import {type EngineView} from './engine_view.js';
import {type Decision, type PlannedOrder} from './scheduled_request.js';

/** Records the order as sent, so that the engine gets one at a time. */
export function makeOrder(
  engine: EngineView,
  operation: PlannedOrder['operation'],
  model: ModelName,
  adapter: AdapterName | null,
): Decision {
  const order: PlannedOrder = {
    engineId: engine.id,
    ...{operation, model, adapter},
    tier: findOrderTier(engine, operation, model, adapter),
    expectedCount: engine.orders.acceptedCount,
  };
  engine.orders.recordSent(order);
  return {kind: 'order', order};
}

function findOrderTier(
  engine: EngineView,
  operation: PlannedOrder['operation'],
  model: ModelName,
  adapter: AdapterName | null,
): WeightTier | null {
  const isModelLoad = operation === 'load' && adapter === null;
  return isModelLoad ? engine.findTier(model) : null;
}
