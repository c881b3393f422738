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
