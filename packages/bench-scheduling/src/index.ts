export {type DeploymentSpec, PANTRY, SKY, listServices} from './deployment.js';
export {
  type PlayFaults,
  type PlayOptions,
  type PlayResult,
  NO_FAULTS,
  playRequests,
} from './play_requests.js';
export {
  type Arrival,
  type KindName,
  type TrafficSpec,
  generateTraffic,
} from './traffic.js';
