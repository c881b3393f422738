import {BackendConnections} from '@mimosatack/backend-connections';
import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PipelineFixture} from './pipeline_fixture.js';
import {makeRequest, makeRoute} from './test_fixtures.js';

const test = suite('requests that no route takes');

async function serveUnknownPath(isConfigurationRecent: boolean) {
  const pipeline = new PipelineFixture({
    routes: [makeRoute()],
    connections: new BackendConnections({
      ...{clock: new ManualClock(), idleLimitMs: 1_000},
    }),
    choose: () => null,
    isConfigurationRecent,
  });
  await pipeline.serve(makeRequest({path: '/added-later/'}));
  return pipeline;
}

test('a request for a path without a route is not found', async () => {
  const {sink, logger} = await serveUnknownPath(true);
  assert.is(sink.error?.kind, 'not-found');
  const [line] = logger.fieldsOf('route-not-found');
  assert.is(line?.['configurationVersion'], 1);
  assert.is(line?.['configurationAgeMs'], 11_000);
  assert.is(line?.['confirmedBy'], 'own-read');
});

// Guards against a final refusal by a configuration that may have been replaced.
test('a node whose configuration may be outdated refuses for now only', async () => {
  const {sink, logger} = await serveUnknownPath(false);
  assert.is(sink.error?.kind, 'platform-unavailable');
  assert.is(sink.error?.run, 'not-run');
  assert.ok((sink.error?.retryAfterMs ?? 0) > 0);
  assert.is(logger.fieldsOf('route-not-found').length, 1);
});

test.run();
