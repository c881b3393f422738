export {
  type AnswerHead,
  type AnswerReceiver,
  type BackendCall,
  type CallHandle,
  type ResponseIdentity,
  type ResponseSource,
  type ResponseOrigin,
} from './backend_call.js';
export {
  type BackendConnectionsOptions,
  BackendConnections,
} from './backend_connections.js';
export {type CollectedAnswer, collectAnswer} from './collect_answer.js';
export {createUnreachableError, openSocket} from './backend_connection.js';
export {isInvalidStatus, isMalformedResponse} from './malformed_response.js';
export {isForeignResponse} from './foreign_response.js';
export {RELAY_LOST, isRelayLost, makeRelayLostError} from './relay_loss.js';
export {BackendSocket} from './backend_socket.js';
export {
  type ConnectionDialer,
  type DialTerms,
  type DialedSocket,
} from './connection_dialer.js';
