export {
  PEER_UNREACHABLE,
  type PeerCounters,
  type PeerIdentity,
  type PeerTransportOptions,
} from './options.js';
export {PeerTransport} from './peer_transport.js';
