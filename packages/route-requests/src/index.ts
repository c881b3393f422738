export {CircuitTable, type CircuitState} from './circuit_table.js';
export {type PrefixCacheEvent, PrefixTable} from './prefix_table.js';
export {type PrefixHasher, Sha256PrefixHasher} from './prefix_hasher.js';
export {
  type RequestOutcome,
  type RouteDecision,
  type RouteRequest,
} from './route_types.js';
export {Router, type RouterOptions} from './router.js';
