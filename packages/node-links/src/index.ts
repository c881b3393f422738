export {type KnownNode, encodeNode, decodeNode} from './known_node.js';
export {type RecordsMessage, type SharedTopic} from './messages.js';
export {
  NodeLinks,
  type NodeLinksOptions,
  type NodeStatus,
  type Successor,
} from './node_links.js';
