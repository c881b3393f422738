/** The records of the store that nodes pass on to each other. */
import {type KeyedTable} from '@mimosatack/keyed-store';
import {
  type NodeStatus,
  type RecordsMessage,
  type SharedTopic,
} from '@mimosatack/node-links';
import {type ConfigurationFollower} from './configuration_follower.js';
import {type NodeRegister} from './node_register.js';
import {type ServerFollower} from './server_follower.js';

/** Who keeps the records of which topic, and to whom they are passed on. */
export interface SharedRecordsOptions {
  configuration: ConfigurationFollower;
  servers: ServerFollower;
  nodes: NodeRegister;
  /** Whether this node reads for the others too. */
  isReader: () => boolean;
  broadcast: (message: RecordsMessage) => void;
}

/** What a node tells other nodes of the store, and takes from them. */
export class SharedRecords {
  constructor(private readonly options: SharedRecordsOptions) {}

  /** How far this node knows each topic. */
  describe(): Omit<NodeStatus, 'isServing' | 'uptimeMs'> {
    const {configuration, servers, nodes} = this.options;
    return {
      configurationVersion: configuration.version,
      serversEndOffset: servers.passedOn.endOffset,
      nodesEndOffset: nodes.table.endOffset,
    };
  }

  /** The records from an offset on, for a peer that asks. */
  read(topic: SharedTopic, fromOffset: number): RecordsMessage {
    const table = this.findTable(topic);
    return {
      type: 'records',
      ...{topic, fromOffset, endOffset: table.endOffset},
      records: table.listSince(fromOffset),
    };
  }

  /** Takes records that a peer has passed on. */
  take({topic, fromOffset, endOffset, records}: RecordsMessage): void {
    const {configuration, servers, nodes} = this.options;
    switch (topic) {
      case 'configuration':
        return configuration.takeFromPeer(records);
      case 'servers':
        return servers.takeFromPeer(fromOffset, records, endOffset);
      case 'nodes':
        return nodes.takeFromPeer(fromOffset, records, endOffset);
    }
  }

  /** Tells the others what this node has read, if it reads for them. */
  passOn(topic: SharedTopic, fromOffset: number): void {
    const {isReader, broadcast} = this.options;
    if (isReader()) broadcast(this.read(topic, fromOffset));
  }

  private findTable(topic: SharedTopic): KeyedTable {
    const {configuration, servers, nodes} = this.options;
    const tables = {configuration: configuration.table, nodes: nodes.table};
    return topic === 'servers' ? servers.passedOn : tables[topic];
  }
}
