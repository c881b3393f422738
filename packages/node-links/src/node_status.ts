/** State that a node reports with every heartbeat. */
export interface NodeStatus {
  isServing: boolean;
  uptimeMs: number;
  configurationVersion: number;
  /** End offset of the server records that the node has read. */
  serversEndOffset: number;
  /** End offset of the node records that the node has read. */
  nodesEndOffset: number;
}
