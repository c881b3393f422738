import {MemoryEventLogger} from '@mimosatack/logger';
import {MemoryMetrics} from '@mimosatack/metrics';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {MetricsEventLogger} from './measuring_event_logger.js';

const test = suite('metrics from log events');

test('an event is logged unchanged and updates its metrics', () => {
  const inner = new MemoryEventLogger();
  const metrics = new MemoryMetrics();
  new MetricsEventLogger(inner, metrics).log('request-finished', {
    ...{requestId: 'r1', result: 'refused', kind: 'not-warm', reason: 'full'},
    ...{run: 'not-run', retryAfterMs: 500, attempts: 0, tookMs: 12},
    lastEventId: null,
    fingerprint: undefined,
  });
  assert.equal(metrics.samples, [
    {
      name: 'answers.finished',
      value: 1,
      tags: {result: 'refused', kind: 'not-warm'},
    },
    {name: 'answers.duration', value: 12, tags: {result: 'refused'}},
  ]);
  assert.is(inner.events.length, 1);
});

test('attempts with suspected requests are counted, others are not', () => {
  const metrics = new MemoryMetrics();
  const logger = new MetricsEventLogger(new MemoryEventLogger(), metrics);
  const log = (fingerprint: string | undefined, isProbe: boolean) =>
    logger.log('request-sent', {
      ...{requestId: 'r1', route: 'a', backendServerId: 'i-1', attempt: 1},
      ...{remainingMs: 9, configurationVersion: 1, chosenBy: {}},
      ...{fingerprint, isProbe},
      ...{softwareVersion: 'v1', resumedRequestId: undefined},
    });
  log(undefined, false);
  log('f1', false);
  log('f1', true);
  assert.equal(
    metrics.samples.map(({name, tags}) => ({name, tags})),
    [
      {name: 'containment.sent', tags: {reason: 'suspected'}},
      {name: 'containment.sent', tags: {reason: 'probe'}},
    ],
  );
});

// Guards against one series for each of any number of teams.
test('costs name the 20 teams that cost most, and the rest as one', () => {
  const metrics = new MemoryMetrics();
  const logger = new MetricsEventLogger(new MemoryEventLogger(), metrics);
  for (let team = 0; team < 100; team += 1) {
    const requestId = `r${team}`;
    logger.log('share-used', {requestId, team: `t${team}`, cost: 100 - team});
  }
  logger.log('share-used', {requestId: 'r', team: undefined, cost: 5});
  const tags = new Set(metrics.samples.map(({tags: {team}}) => team));
  assert.is(tags.size, 22);
  assert.ok(tags.has('t0') && tags.has('(other)') && tags.has('(none)'));
});

test('an event without a metric is only logged', () => {
  const inner = new MemoryEventLogger();
  const metrics = new MemoryMetrics();
  new MetricsEventLogger(inner, metrics).log('duty-lost', {fencingToken: 4});
  assert.equal(metrics.samples, []);
  assert.is(inner.events.length, 1);
});

test.run();
