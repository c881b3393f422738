import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {startServiceStandIn} from './service_server.js';

const test = suite('service server');

type Service = Awaited<ReturnType<typeof startServiceStandIn>>;

async function withService(
  body: (service: Service) => Promise<void>,
): Promise<void> {
  const service = await startServiceStandIn({runMs: 0});
  await body(service).finally(() => service.close());
}

/** Calls the service; false if the connection was destroyed. */
async function call({baseUrl}: Service): Promise<boolean> {
  const sent = request(`${baseUrl}/calls/ping`, {
    method: 'POST',
    headers: {'content-type': 'application/json', 'idempotency-key': 'k1'},
    body: '{"id":7}',
  });
  return sent
    .then(answer => answer.body.json())
    .then(
      () => true,
      () => false,
    );
}

test('shows that a call ran twice', () =>
  // Reproduces a double run: the answer of the first call is lost, and the caller
  // retries.
  withService(async service => {
    service.core.faults.set({resetAfterRun: 1});
    assert.equal([await call(service), await call(service)], [false, true]);
    const {runsByKey, runsByField} = service.core.observe();
    assert.equal(runsByKey, {k1: 2});
    assert.equal(runsByField, {7: 2});
  }));

test('shows that a call did not run before a reset', () =>
  withService(async service => {
    service.core.faults.set({resetBeforeRead: 1, resetAfterRead: 1});
    assert.equal([await call(service), await call(service)], [false, false]);
    assert.equal(service.core.observe().runs, []);
  }));

test('runs a call after a freeze although its caller has gone', () =>
  // Reproduces a call that runs after its caller has disconnected.
  withService(async service => {
    service.core.gate.freeze(null);
    const abort = new AbortController();
    const sent = request(`${service.baseUrl}/calls/ping`, {
      method: 'POST',
      body: '{"id":7}',
      signal: abort.signal,
    }).catch(() => undefined);
    while (service.core.gate.deferredCount === 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    abort.abort();
    await sent;
    service.core.gate.thaw();
    await call(service);
    assert.equal(service.core.observe().runsByField, {7: 2});
  }));

test.run();
