export {
  PEER_UNREACHABLE,
  type PeerCounters,
  type PeerIdentity,
  type PeerTransportOptions,
  type RelayDecision,
} from './options.js';
export {PeerTransport} from './peer_transport.js';
