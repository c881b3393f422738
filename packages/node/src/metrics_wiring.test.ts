import {AgreedState} from '@mimosatack/agreed-state';
import {ManualClock, SystemClock} from '@mimosatack/clock';
import {type EngineState, type ReplicaStatus} from '@mimosatack/types';
import {MemoryMetrics} from '@mimosatack/metrics';
import fastify from 'fastify';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {HttpObserver} from './observe_http.js';
import {ReplicaObserver} from './replica_observer.js';

const LOAD = {
  runningRequests: 0,
  queuedRequests: 0,
  maxRunningRequests: 8,
  tokensPerSecond: 0,
  ageMs: 0,
};

function makeReport(status: ReplicaStatus) {
  const engine: EngineState = {
    backendServerId: 'lm-pool-1',
    incarnation: 'i',
    fencing: 'ignores',
    highestFencingNumber: 0,
    accelerators: 1,
    memoryMib: 100,
    replicas: [
      {
        slotId: 's-1',
        model: 'alert-writer',
        adapter: null,
        version: 'v1',
        memoryMib: 10,
        status,
        loadMs: 700,
        activeRequests: 0,
      },
    ],
    cached: [],
    load: LOAD,
  };
  return {
    backendServerId: 'lm-pool-1',
    reportedAtMs: 1,
    engine,
    load: LOAD,
    isReachable: true,
  };
}

const wiring = suite('metrics of a node');

wiring('a load is measured once, when its replica becomes warm', () => {
  const metrics = new MemoryMetrics();
  const state = new AgreedState();
  const observer = new ReplicaObserver(new ManualClock(), metrics, () => state);
  (['loading', 'warm', 'warm'] as const).forEach(status =>
    observer.note(makeReport(status)),
  );
  assert.equal(metrics.valuesOf('loads.finished'), [1]);
  assert.equal(metrics.valuesOf('loads.duration'), [700]);
});

/**
 * Guards against counting replicas that were warm long before this node took
 * over the backend server.
 */
wiring('a replica that is warm in the first report is no load', () => {
  const metrics = new MemoryMetrics();
  const state = new AgreedState();
  const observer = new ReplicaObserver(new ManualClock(), metrics, () => state);
  observer.note(makeReport('warm'));
  observer.note(makeReport('warm'));
  assert.equal(metrics.samples, []);
});

wiring('requests are counted by route, and refusals by status', async () => {
  const metrics = new MemoryMetrics();
  const observer = new HttpObserver('operators', new SystemClock(), metrics);
  const server = fastify();
  observer.watch(server);
  server.get('/things/:id', () => 'ok');
  await server.inject('/things/7');
  await server.inject('/nowhere');
  await server.close();
  const received = metrics.samples.filter(
    sample => sample.name === 'requests.received',
  );
  assert.equal(
    received.map(sample => sample.tags.kind),
    ['GET /things/:id', 'unknown route'],
  );
  const refused = metrics.samples.find(
    sample => sample.name === 'requests.refused',
  );
  assert.is(refused?.tags.status, '404');
  assert.is(observer.inFlight, 0);
});

wiring.run();
