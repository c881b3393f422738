export {MimosatackNode, type NodeAddresses, type NodeOptions} from './node.js';
