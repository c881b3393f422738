/** State that a node reports with every heartbeat. */
export interface NodeStatus {
  isServing: boolean;
  uptimeMs: number;
  /** False while the node reaches backend servers only through other nodes. */
  reachesServers: boolean;
  configurationVersion: number;
  /** End offset of the server records that the node has read. */
  serversEndOffset: number;
  /** End offset of the node records that the node has read. */
  nodesEndOffset: number;
}
