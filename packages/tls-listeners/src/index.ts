export {type KeyPair, type KeyPairPaths, readKeyPair} from './key_pair.js';
export {TlsListener, type TlsListenerOptions} from './tls_listener.js';
