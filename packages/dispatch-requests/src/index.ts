export {
  BackendPools,
  type PooledRequest,
  type PoolLimits,
} from './backend_pools.js';
export {
  type OwnConnectionAnswer,
  type OwnConnectionRequest,
  sendOnce,
} from './own_connection.js';
export {
  type WholeAnswer,
  checkCompletion,
  readContentType,
  readRefusal,
  readWhole,
} from './read_answer.js';
