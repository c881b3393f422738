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
  type WholeAnswerRequest,
  exchangeOnce,
} from './whole_answer.js';
export {readErrorResponse} from './read_error_response.js';
