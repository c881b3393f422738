export {type CallerEndpoint, listEntries, waitFor} from './caller_steps.js';
export {
  type Cluster,
  type NodeSpec,
  type RunningNode,
  hashToken,
  startCluster,
  startNode,
} from './cluster.js';
export {type Deployment, findDeployment} from './deployment.js';
export {ProcessGroup} from './process_group.js';
