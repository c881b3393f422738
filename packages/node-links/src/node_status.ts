/** What a node says of itself with every heartbeat. */
export interface NodeStatus {
  isServing: boolean;
  uptimeMs: number;
  configurationVersion: number;
  serversEndOffset: number;
  nodesEndOffset: number;
}
