/** Deployments of the sizes that the customers run. */
import {
  type EngineSpec,
  type ModelSpec,
  type ServiceSpec,
} from '@mimosatack/types';

/** Engines and models of one simulated service. */
export interface DeploymentSpec {
  name: string;
  engineCount: number;
  slots: number;
  memoryMb: number;
  modelCount: number;
  adaptersPerHotModel: number;
  /** Models with weights on each engine's disk at the start. */
  modelsOnDisk: number;
  /** Base time of one decoding step of a batch. */
  stepMs: number;
  /** Time that each request of the batch adds to a step. */
  stepMsPerRequest: number;
  promptTokensPerMs: number;
  storeLoadsPerSecond: number;
  /** Tokens in one event of a response stream. */
  tokensPerEvent: number;
  /** Time to load a small and a large model from the engine's disk. */
  diskLoadMs: {small: number; large: number};
}

/** Many models, short steps. */
export const PANTRY: DeploymentSpec = {
  name: 'pantry',
  engineCount: 13,
  slots: 32,
  memoryMb: 230_000,
  modelCount: 101,
  adaptersPerHotModel: 12,
  modelsOnDisk: 19,
  stepMs: 5.1,
  stepMsPerRequest: 0.03,
  promptTokensPerMs: 29.4,
  storeLoadsPerSecond: 7.5,
  tokensPerEvent: 6,
  diskLoadMs: {small: 590, large: 640},
};

/** Few engines, large batches. */
export const SKY: DeploymentSpec = {
  name: 'sky',
  engineCount: 6,
  slots: 64,
  memoryMb: 220_000,
  modelCount: 50,
  adaptersPerHotModel: 16,
  modelsOnDisk: 17,
  stepMs: 4.43,
  stepMsPerRequest: 0.02,
  promptTokensPerMs: 38.1,
  storeLoadsPerSecond: 3.1,
  tokensPerEvent: 6,
  diskLoadMs: {small: 590, large: 640},
};

/** Short answers, slow loads from disk. */
export const CREW: DeploymentSpec = {
  name: 'crew',
  engineCount: 8,
  slots: 64,
  memoryMb: 220_000,
  modelCount: 65,
  adaptersPerHotModel: 16,
  modelsOnDisk: 19,
  stepMs: 4.43,
  stepMsPerRequest: 0.02,
  promptTokensPerMs: 38.1,
  storeLoadsPerSecond: 3.5,
  tokensPerEvent: 5,
  diskLoadMs: {small: 1_000, large: 1_200},
};

export const SERVICE_NAME = 'writers';
const ADAPTER_SLOTS = 8;
const LARGE_MODEL_MB = 72_700;
const SMALL_MODEL_MB = 65_100;
const CACHE_CAPACITY_TOKENS = 106_000;

export function listServices(deployment: DeploymentSpec): ServiceSpec[] {
  return [
    {
      name: SERVICE_NAME,
      healthPath: '/health',
      maxConnections: 240,
      engine: makeEngineSpec(deployment),
    },
  ];
}

/** Names are m0, m1 and so on; the first ones get the most requests. */
export function nameModel(number: number): string {
  return `m${number}`;
}

function makeEngineSpec(deployment: DeploymentSpec): EngineSpec {
  return {
    slots: deployment.slots,
    cacheCapacityTokens: CACHE_CAPACITY_TOKENS,
    memoryMb: deployment.memoryMb,
    adapterSlots: ADAPTER_SLOTS,
    hostMemoryMb: 150_000,
    diskMb: 1_400_000,
    storeLoadsPerSecond: deployment.storeLoadsPerSecond,
    tokensPerEvent: deployment.tokensPerEvent,
    canMigrateRuns: true,
    canBackUpRuns: true,
    models: Array.from({length: deployment.modelCount}, (_, number) =>
      makeModel(number, deployment),
    ),
  };
}

function makeModel(number: number, deployment: DeploymentSpec): ModelSpec {
  const isLarge = number % 2 === 1;
  return {
    model: nameModel(number),
    memoryMb: isLarge ? LARGE_MODEL_MB : SMALL_MODEL_MB,
    storeLoadMs: 6_000,
    diskLoadMs: isLarge
      ? deployment.diskLoadMs.large
      : deployment.diskLoadMs.small,
    hostMemoryLoadMs: isLarge ? 470 : 450,
    adapterCount: number < 10 ? deployment.adaptersPerHotModel : 0,
    adapterMb: isLarge ? 66 : 12,
  };
}
