/** Fixtures for the tests of the request path. */
import {
  type BackendServerEntry,
  type ServiceRoute,
  type ServiceSpec,
} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';
import {type ServerAsk} from './server_chooser.js';

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
    isPublic: false,
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
    startedAtMs: null,
    service: 'writers',
    softwareVersion: 'v1',
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

/** An ask for a plain request that may go to any server. */
export function makeAsk(change: Partial<ServerAsk> = {}): ServerAsk {
  return {
    request: makeRequest(),
    route: makeRoute(),
    service: makeService(),
    excluded: new Set(),
    softwareVersion: null,
    team: null,
    allowed: null,
    endsAtMs: 1_000,
    hasBegun: false,
    charge: null,
    priority: 1,
    signal: new AbortController().signal,
    ...change,
  };
}

/** A plain request without a body. */
export function makeRequest(
  change: Partial<CallerRequest> = {},
): CallerRequest {
  return {
    requestId: 'r1',
    host: 'lists.example',
    method: 'GET',
    path: '/drafts/1',
    headers: [],
    body: new Uint8Array(),
    receivedAtMs: 0,
    deadlineMs: null,
    lastEventId: null,
    resumedRequestId: null,
    generation: null,
    keyHashes: [],
    tokenCount: null,
    ...change,
  };
}

/** Lets pending promises settle that need no time. */
export async function settle(): Promise<void> {
  for (let turns = 0; turns < 10; turns += 1) await Promise.resolve();
}
