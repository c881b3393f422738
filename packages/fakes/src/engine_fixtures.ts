/** Test fixtures for engines and their services. */
import {
  type BackendServerEntry,
  type EngineSpec,
  type ServiceSpec,
} from '@mimosatack/types';

export const ENGINE_SERVICE = 'writers';

/** Lists one model `m0`, of which three copies fit in the memory. */
const ENGINE: EngineSpec = {
  ...{slots: 32, cacheCapacityTokens: 100_000, memoryMb: 230_000},
  ...{adapterSlots: 8, hostMemoryMb: 0, diskMb: 0, storeLoadsPerSecond: 1},
  ...{tokensPerEvent: 6, canMigrateRuns: false, canBackUpRuns: false},
  models: [
    {
      ...{model: 'm0', memoryMb: 70_000, storeLoadMs: 6_000, diskLoadMs: 600},
      ...{hostMemoryLoadMs: 500, adapterCount: 0, adapterMb: 0},
    },
  ],
};

export function makeEngineService(): ServiceSpec {
  return {
    ...{name: ENGINE_SERVICE, healthPath: '/health', maxConnections: 10},
    engine: ENGINE,
  };
}

/** Creates a ready engine with the model `m0` loaded. */
export function makeEngineEntry(id: string): BackendServerEntry {
  return {
    ...{id, startedAtMs: null, service: ENGINE_SERVICE},
    softwareVersion: 'v1',
    address: {ip: '127.0.0.1', port: 1},
    ...{failureDomain: 'a', slots: 32, state: 'ready', leavesInMs: null},
    residents: [{model: 'm0', version: 1, adapters: []}],
    near: {inHostMemory: [], onDisk: []},
  };
}
