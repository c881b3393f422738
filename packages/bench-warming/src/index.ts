export {
  DEPLOYMENTS,
  DEPLOYMENT_NAMES,
  type Deployment,
  SCENARIO_NAMES,
  listEvents,
} from './deployment.js';
export {FAULT_NAMES, type Fault, listFaults} from './fault.js';
export {type RunResult, measureRun} from './measure_run.js';
export {type RunSpec} from './virtual_cluster.js';
