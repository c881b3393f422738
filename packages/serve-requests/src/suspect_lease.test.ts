import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CrashGuard, type CrashWatch} from './crash_guard.js';
import {SuspectLease} from './suspect_lease.js';
import {makeRequest} from './test_fixtures.js';

const test = suite('the lease of a suspected request');

const TIME_MS = 1_000;

function makeWatch(isSuspected: boolean): CrashWatch {
  return {
    hasSuspects: isSuspected,
    isPathSuspected: () => isSuspected,
    isSuspected: () => isSuspected,
    isContained: () => false,
    openProbe: () => false,
    endProbe: () => undefined,
    recordConnectionLoss: () => undefined,
    recordSuccess: () => undefined,
    recordServedParts: () => undefined,
  };
}

function createFixture(isSuspected: boolean, isGranted: boolean) {
  const clock = new ManualClock();
  const calls: string[] = [];
  const controller = new AbortController();
  const request = makeRequest();
  const lease = new SuspectLease({
    ...{clock, request, endsAtMs: TIME_MS, signal: controller.signal},
    guard: new CrashGuard(makeWatch(isSuspected), request),
    leaser: {
      makeRunId: () => 'run-1',
      acquire: (_fingerprint, runId) => {
        calls.push(`acquire ${runId}`);
        return Promise.resolve(isGranted);
      },
      release: (_fingerprint, runId) => calls.push(`release ${runId}`),
    },
  });
  return {clock, calls, controller, lease};
}

test('a request that is not suspected needs no lease', async () => {
  const {lease, calls} = createFixture(false, true);
  assert.is(await lease.acquire(), null);
  lease.release();
  assert.equal(calls, []);
});

test('a lease is held until it is released', async () => {
  const {lease, calls} = createFixture(true, true);
  assert.is(await lease.acquire(), null);
  assert.not(lease.isNeeded);
  assert.is(await lease.acquire(), null);
  lease.release();
  assert.equal(calls, ['acquire run-1', 'release run-1']);
});

// Guards against a denied request that asks in a loop, or waits until its deadline.
test('a request that is denied asks again after a while, then is refused', async () => {
  const {clock, lease, calls} = createFixture(true, false);
  const refusal = lease.acquire();
  for (let ms = 0; ms < 0.6 * TIME_MS; ms += 50) {
    await new Promise(resolve => setImmediate(resolve));
    clock.advance(50);
  }
  const error = await refusal;
  assert.is(error?.kind, 'overloaded');
  assert.is(error?.run, 'not-run');
  assert.is(calls.length, 12);
});

test('a request that is aborted stops waiting', async () => {
  const {controller, lease} = createFixture(true, false);
  const refusal = lease.acquire();
  controller.abort();
  assert.is(await refusal, null);
});

test.run();
