/** The two simulated deployments and the events of each scenario. */
import {type WarmingWeights} from '@mimosatack/plan-warming';
import {type WeightStoreLimits} from '@mimosatack/platform';

export const DEPLOYMENT_NAMES = ['prairie', 'zorza'] as const;
export type DeploymentName = (typeof DEPLOYMENT_NAMES)[number];

export interface Deployment {
  deploymentName: DeploymentName;
  failureDomains: number;
  runners: number;
  nodes: number;
  models: number;
  /** The first this many models have an adapter. */
  adapters: number;
  limits: WeightStoreLimits;
  weights: WarmingWeights;
  /** Models that the single big event needs. */
  bigEventModels: number;
  /** The first this many of them need two replicas. */
  bigEventPairs: number;
}

export const DEPLOYMENTS: Record<DeploymentName, Deployment> = {
  prairie: {
    deploymentName: 'prairie',
    failureDomains: 4,
    runners: 13,
    nodes: 8,
    models: 100,
    adapters: 95,
    limits: {loadsPerSecond: 7.5, fullSpeedLoads: 4},
    weights: {coldStartWeight: 0.3, idleWeight: 0.7},
    bigEventModels: 32,
    bigEventPairs: 10,
  },
  zorza: {
    deploymentName: 'zorza',
    failureDomains: 3,
    runners: 6,
    nodes: 7,
    models: 50,
    adapters: 50,
    limits: {loadsPerSecond: 3, fullSpeedLoads: 4},
    weights: {coldStartWeight: 0.7, idleWeight: 0.3},
    bigEventModels: 14,
    bigEventPairs: 4,
  },
};

/** One model that a measured event needs. */
export interface MeasuredNeed {
  model: string;
  adapters: string[];
  replicas: number;
}

export interface MeasuredEvent {
  eventId: string;
  startsAtMs: number;
  durationMs: number;
  needs: MeasuredNeed[];
}

export const SCENARIO_NAMES = ['big', 'back-to-back', 'overlapping'] as const;
export type ScenarioName = (typeof SCENARIO_NAMES)[number];

export const MODEL_MIB = 12_288;
export const ADAPTER_MIB = 512;
export const RUNNER_MIB = 65_536;
export const ACCELERATORS = 8;
/** Replicas with their adapters that fit in the memory of one runner. */
export const REPLICAS_PER_RUNNER = 5;
/** The start of the first measured event. */
export const START_MS = 30 * 60_000;

const EVENT_MS = 60_000;
const GAP_MS = 10_000;
const OVERLAP_AFTER_MS = 30_000;
/** Every second model of an event needs its adapter. */
const ADAPTER_EVERY = 2;

export function listEvents(
  deployment: Deployment,
  scenario: ScenarioName,
): MeasuredEvent[] {
  const {bigEventModels, bigEventPairs, runners} = deployment;
  const capacity = runners * REPLICAS_PER_RUNNER;
  const modelsPerEvent = Math.floor(capacity / 3);
  const makeEvent = (
    eventId: string,
    afterMs: number,
    needs: MeasuredNeed[],
  ) => ({
    eventId,
    startsAtMs: START_MS + afterMs,
    durationMs: EVENT_MS,
    needs,
  });
  switch (scenario) {
    case 'big':
      return [makeEvent('big', 0, makeNeeds(0, bigEventModels, bigEventPairs))];
    case 'back-to-back': {
      const models = Math.floor(capacity * 0.4);
      const pairs = Math.floor(capacity * 0.9) - models;
      const afterMs = EVENT_MS + GAP_MS;
      return [
        makeEvent('first', 0, makeNeeds(0, models, pairs)),
        makeEvent('second', afterMs, makeNeeds(models, models, pairs)),
      ];
    }
    case 'overlapping':
      return [
        makeEvent('first', 0, makeNeeds(0, modelsPerEvent, 0)),
        makeEvent(
          'second',
          OVERLAP_AFTER_MS,
          makeNeeds(modelsPerEvent - 4, modelsPerEvent, 0),
        ),
      ];
  }
}

function makeNeeds(
  firstModel: number,
  models: number,
  pairs: number,
): MeasuredNeed[] {
  return Array.from({length: models}, (_unused, index) => ({
    model: `m${firstModel + index}`,
    adapters: index % ADAPTER_EVERY === 0 ? ['a'] : [],
    replicas: index < pairs ? 2 : 1,
  }));
}
