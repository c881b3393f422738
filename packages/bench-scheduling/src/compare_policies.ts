/** Simulates the same requests with each scheduling policy. */
import {SeededRandom} from '@mimosatack/random';
import {
  BatchWorthPolicy,
  FirstComePolicy,
  ResidentOnlyPolicy,
  type SwapPolicy,
} from '@mimosatack/schedule-models';
import {CREW, type DeploymentSpec, PANTRY, SKY} from './deployment.js';
import {NO_FAULTS, type PlayResult, playRequests} from './play_requests.js';
import {
  LONG_ANSWERS,
  SHORT_ANSWERS,
  type TrafficSpec,
  generateTraffic,
} from './traffic.js';

/** One policy's result in one deployment. */
export interface PolicyResult {
  deployment: string;
  policy: string;
  result: PlayResult;
}

/** Request rates by kind; `draftBurst` is the burst of a busy day. */
export const PANTRY_TRAFFIC: TrafficSpec = {
  kinds: LONG_ANSWERS,
  durationMs: 34_000,
  chatsPerSecond: 23.2,
  draftsPerSecond: 7.5,
  tagsPerSecond: 5.7,
  draftBurst: 2,
  hotModels: 4,
  shiftEveryMs: 10_000,
};

export const SKY_TRAFFIC: TrafficSpec = {
  kinds: LONG_ANSWERS,
  durationMs: 34_000,
  chatsPerSecond: 20,
  draftsPerSecond: 2.9,
  tagsPerSecond: 3.8,
  draftBurst: 2.3,
  hotModels: 2,
  shiftEveryMs: 10_000,
};

export const CREW_TRAFFIC: TrafficSpec = {
  kinds: SHORT_ANSWERS,
  durationMs: 34_000,
  chatsPerSecond: 58.3,
  draftsPerSecond: 2.9,
  tagsPerSecond: 1.3,
  draftBurst: 2.1,
  hotModels: 2,
  shiftEveryMs: 8_000,
};

const POLICIES: ReadonlyArray<() => SwapPolicy> = [
  () => new ResidentOnlyPolicy(),
  () => new FirstComePolicy(),
  () => new BatchWorthPolicy(),
];

interface DeploymentTraffic {
  deployment: DeploymentSpec;
  traffic: TrafficSpec;
}

const DEPLOYMENT_TRAFFIC: readonly DeploymentTraffic[] = [
  {deployment: PANTRY, traffic: PANTRY_TRAFFIC},
  {deployment: SKY, traffic: SKY_TRAFFIC},
  {deployment: CREW, traffic: CREW_TRAFFIC},
];

/**
 * Simulates every policy on the same requests.
 *
 * @param names deployments to simulate; all of them by default.
 */
export function comparePolicies(
  seed: number,
  names: readonly string[] = DEPLOYMENT_TRAFFIC.map(
    ({deployment}) => deployment.name,
  ),
): PolicyResult[] {
  return DEPLOYMENT_TRAFFIC.filter(({deployment}) =>
    names.includes(deployment.name),
  ).flatMap(({deployment, traffic}) =>
    compareInDeployment(deployment, traffic, seed),
  );
}

function compareInDeployment(
  deployment: DeploymentSpec,
  traffic: TrafficSpec,
  seed: number,
): PolicyResult[] {
  return POLICIES.map(makePolicy => {
    const policy = makePolicy();
    const random = new SeededRandom(seed);
    const arrivals = generateTraffic(traffic, deployment, random);
    return {
      deployment: deployment.name,
      policy: policy.name,
      result: playRequests({
        ...{deployment, arrivals, policy, random},
        faults: NO_FAULTS,
      }),
    };
  });
}
