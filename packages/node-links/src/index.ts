export {
  type RegisteredNode,
  encodeNode,
  decodeNode,
} from './registered_node.js';
export {type RecordsMessage, type SharedTopic} from './messages.js';
export {type LifeSign, LiveNodes} from './live_nodes.js';
export {NodeLinks} from './node_links.js';
export {type NodeStatus} from './node_status.js';
export {
  type ConfigurationConfirmation,
  type NodeLinksOptions,
  type QuotaExchange,
  type Successor,
} from './node_links_options.js';
export {ConfirmationExchange} from './confirmation_exchange.js';
