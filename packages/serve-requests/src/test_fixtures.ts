/** Fixtures for the tests of the request path. */
import {
  type BackendServerEntry,
  type ServiceRoute,
  type ServiceSpec,
} from '@mimosatack/types';

export function makeRoute(change: Partial<ServiceRoute> = {}): ServiceRoute {
  return {
    name: 'drafts',
    host: 'lists.example',
    pathPrefix: '/drafts/',
    kind: 'idempotent',
    timeoutMs: 1_000,
    targetLatencyMs: 200,
    targetGapMs: null,
    priority: 1,
    maxAttempts: 2,
    traffic: [{service: 'writers', weight: 1}],
    hasSessionAffinity: false,
    isResumable: false,
    ...change,
  };
}

export function makeService(change: Partial<ServiceSpec> = {}): ServiceSpec {
  return {
    name: 'writers',
    healthPath: '/health',
    maxConnections: 100,
    engine: null,
    ...change,
  };
}

export function makeServer(
  change: Partial<BackendServerEntry> = {},
): BackendServerEntry {
  return {
    id: 'i-1',
    service: 'writers',
    address: {ip: '127.0.0.1', port: 1},
    failureDomain: 'hall-a',
    slots: 4,
    state: 'ready',
    leavesInMs: null,
    residents: [],
    near: {inHostMemory: [], onDisk: []},
    ...change,
  };
}
