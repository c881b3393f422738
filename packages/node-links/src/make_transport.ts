/** Configures the transport between nodes and its limits. */
import {PeerTransport} from '@mimosatack/peer-transport';
import {type NodeMessage, messageSchema} from './messages.js';
import {type NodeLinksOptions} from './node_links_options.js';

const MAX_CONNECTIONS = 1_000;
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 500;

/** Undefined for a message that has no reply. */
export type MessageReply =
  NodeMessage | undefined | Promise<NodeMessage | undefined>;

/** Creates a transport that listens and connects after `start()`. */
export function makeTransport(
  options: NodeLinksOptions,
  onMessage: (from: string, message: NodeMessage) => MessageReply,
): PeerTransport<NodeMessage> {
  const {clock, self, listenAddress, clusterSecret, onFault} = options;
  return new PeerTransport<NodeMessage>({
    listenHost: listenAddress.ip,
    listenPort: listenAddress.port,
    selfAddress: self.peerAddress,
    nodeName: self.nodeName,
    ...{clusterSecret, clock},
    maxConnections: MAX_CONNECTIONS,
    maxMessageBytes: MAX_MESSAGE_BYTES,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    schema: messageSchema,
    onMessage: (from, message) => onMessage(from.address, message),
    onRelay: options.onRelay,
    onFault,
  });
}
