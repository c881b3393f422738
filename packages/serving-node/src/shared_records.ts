/** Exchanges records of the store between nodes. */
import {type KeyedTable} from '@mimosatack/keyed-store';
import {
  type NodeStatus,
  type RecordsMessage,
  type SharedTopic,
} from '@mimosatack/node-links';
import {type ConfigurationFollower} from './configuration_follower.js';
import {type NodeRegister} from './node_register.js';
import {type ServerFollower} from './server_follower.js';

/** The followers of the topics, and the connection to other nodes. */
export interface SharedRecordsOptions {
  configuration: ConfigurationFollower;
  servers: ServerFollower;
  nodes: NodeRegister;
  /** Whether this node reads the store on behalf of the others. */
  isReader: () => boolean;
  broadcast: (message: RecordsMessage) => void;
}

/** Sends records to other nodes and applies those received from them. */
export class SharedRecords {
  constructor(private readonly options: SharedRecordsOptions) {}

  /** How far this node has followed each topic. */
  describeProgress(): Omit<
    NodeStatus,
    'isServing' | 'uptimeMs' | 'reachesServers'
  > {
    const {configuration, servers, nodes} = this.options;
    return {
      configurationVersion: configuration.version,
      serversEndOffset: servers.routingTable.endOffset,
      nodesEndOffset: nodes.table.endOffset,
    };
  }

  /** The records from an offset on, as a message to a peer. */
  read(topic: SharedTopic, fromOffset: number): RecordsMessage {
    const table = this.findTable(topic);
    return {
      type: 'records',
      ...{topic, fromOffset, endOffset: table.endOffset},
      records:
        topic === 'configuration'
          ? [...this.options.configuration.recordsInForce]
          : table.listSince(fromOffset),
    };
  }

  applyFromPeer({topic, fromOffset, endOffset, records}: RecordsMessage): void {
    const {configuration, servers, nodes} = this.options;
    switch (topic) {
      case 'configuration':
        return configuration.applyFromPeer(records);
      case 'servers':
        return servers.applyFromPeer(fromOffset, records, endOffset);
      case 'nodes':
        return nodes.applyFromPeer(fromOffset, records, endOffset);
    }
  }

  /** Broadcasts the records from an offset on, if this node is the reader. */
  broadcastSince(topic: SharedTopic, fromOffset: number): void {
    const {isReader, broadcast} = this.options;
    if (isReader()) broadcast(this.read(topic, fromOffset));
  }

  private findTable(topic: SharedTopic): KeyedTable {
    const {configuration, servers, nodes} = this.options;
    const tables = {configuration: configuration.table, nodes: nodes.table};
    return topic === 'servers' ? servers.routingTable : tables[topic];
  }
}
