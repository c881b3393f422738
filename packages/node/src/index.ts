export {MimosatackNode, type NodeOptions} from './node.js';
export {type NodeAddresses} from './open_ports.js';
