import {type EngineSpec} from '@mimosatack/types';

/** Spec of an engine without configuration, into which nothing fits. */
export const NO_ENGINE: EngineSpec = {
  slots: 0,
  cacheCapacityTokens: 0,
  memoryMb: 0,
  adapterSlots: 0,
  hostMemoryMb: 0,
  diskMb: 0,
  storeLoadsPerSecond: 0,
  tokensPerEvent: 1,
  canMigrateRuns: false,
  canBackUpRuns: false,
  models: [],
};
