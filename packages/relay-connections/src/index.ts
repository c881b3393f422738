export {type PathListener, ServerPath} from './server_path.js';
export {type RelayHelper, ServerDialer} from './server_dialer.js';
export {type EndedRelay, RelayServer} from './relay_server.js';
export {type RelayEnd} from './relay.js';
export {RelayedSocket} from './relayed_socket.js';
