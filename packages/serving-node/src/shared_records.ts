/** The records of the store that nodes pass on to each other. */
import {type KeyedTable} from '@mimosatack/keyed-store';
import {type RecordsMessage, type SharedTopic} from '@mimosatack/node-links';
import {type ConfigurationFollower} from './configuration_follower.js';
import {type NodeRegister} from './node_register.js';
import {type ServerFollower} from './server_follower.js';

/** The records of a table from an offset on. */
function listRecords(
  table: KeyedTable,
  topic: SharedTopic,
  fromOffset: number,
): RecordsMessage {
  return {
    type: 'records',
    ...{topic, fromOffset, endOffset: table.endOffset},
    records: table.listSince(fromOffset),
  };
}

/** Who keeps the records of which topic. */
export interface SharedTables {
  configuration: ConfigurationFollower;
  servers: ServerFollower;
  nodes: NodeRegister;
}

/** What a peer asks for. */
export function readRecords(
  topic: SharedTopic,
  fromOffset: number,
  tables: SharedTables,
): RecordsMessage {
  return listRecords(findTable(topic, tables), topic, fromOffset);
}

/** Takes records that a peer has passed on. */
export function exchangeRecords(
  {topic, fromOffset, endOffset, records}: RecordsMessage,
  {configuration, servers, nodes}: SharedTables,
): void {
  switch (topic) {
    case 'configuration':
      return configuration.takeFromPeer(records);
    case 'servers':
      return servers.takeFromPeer(fromOffset, records, endOffset);
    case 'nodes':
      return nodes.takeFromPeer(fromOffset, records, endOffset);
  }
}

function findTable(topic: SharedTopic, tables: SharedTables): KeyedTable {
  return topic === 'servers' ? tables.servers.passedOn : tables[topic].table;
}
