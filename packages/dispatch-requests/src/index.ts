export {
  type OwnConnectionAnswer,
  type OwnConnectionRequest,
  sendOnce,
} from './own_connection.js';
