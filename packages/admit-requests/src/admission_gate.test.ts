import {ManualClock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {AdmissionGate} from './admission_gate.js';
import {CallerDisconnected} from './caller_disconnected.js';
import {type AdmissionRequest, type ReplicaAvailability} from './types.js';

const test = suite('admission gate');

interface Fixture {
  clock: ManualClock;
  capacity: number;
  availability: ReplicaAvailability;
  started: string[];
  /** By request ID: `answered` or the kind of the refusal. */
  outcomes: Record<string, string>;
  retryAfterMs: number[];
  submit(id: string, terms?: Partial<AdmissionRequest>): Promise<void>;
  finish(id: string): Promise<void>;
  advance(deltaMs: number): Promise<void>;
  gate: AdmissionGate;
}

const settle = () => new Promise<void>(resolve => setImmediate(resolve));

function createFixture(capacity: number, queueLimit = 100): Fixture {
  const clock = new ManualClock();
  const random = new SeededRandom(1);
  const options = {random, queueLimit, queueLimitBytes: 1_000};
  const gate = new AdmissionGate(clock, options);
  const finishers = new Map<string, () => void>();
  const target = {
    key: 'm',
    findAvailability: () => fixture.availability,
    tryReserve: () => (fixture.capacity > 0 ? fixture.capacity-- : null),
  };
  const submit = async (id: string, terms: Partial<AdmissionRequest> = {}) => {
    const request = makeRequest(id, clock.monotonicMs(), terms);
    const done = gate.run(request, target, async ({recordServed}) => {
      fixture.started.push(id);
      await new Promise<void>(resolve => finishers.set(id, resolve));
      recordServed();
      fixture.capacity += 1;
    });
    void done.then(
      () => (fixture.outcomes[id] = 'answered'),
      (thrown: TypedError) => {
        fixture.outcomes[id] = thrown.kind;
        assert.is(thrown.run, 'not-run');
        fixture.retryAfterMs.push(thrown.retryAfterMs ?? 0);
      },
    );
    await settle();
  };
  const finish = async (id: string) => {
    finishers.get(id)?.();
    await settle();
  };
  const advance = async (deltaMs: number) => {
    clock.advance(deltaMs);
    await settle();
  };
  const availability: ReplicaAvailability = {status: 'serving'};
  const records = {started: [], outcomes: {}, retryAfterMs: []};
  const fixture: Fixture = {
    clock,
    capacity,
    availability,
    gate,
    submit,
    finish,
    advance,
    ...records,
  };
  return fixture;
}

function makeRequest(
  requestId: string,
  nowMs: number,
  terms: Partial<AdmissionRequest>,
): AdmissionRequest {
  return {
    requestId,
    team: 'alpha',
    teamLimits: {maxConcurrentRequests: 1_000, requestsPerSecond: 1_000},
    priority: 5,
    workClass: 'whole',
    sizeBytes: 1,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + 10_000,
    ...terms,
  };
}

function makeIds(prefix: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${prefix}${index}`);
}

test('starts by priority, then by deadline', async () => {
  const fixture = createFixture(1);
  await fixture.submit('first');
  await fixture.submit('late', {deadlineAtMs: 9_000});
  await fixture.submit('early', {deadlineAtMs: 8_000});
  await fixture.submit('urgent', {priority: 9});
  await fixture.finish('first');
  await fixture.finish('urgent');
  await fixture.finish('early');
  assert.equal(fixture.started, ['first', 'urgent', 'early', 'late']);
});

// Guards against one team's burst starving the requests of another team.
test("one team's burst does not starve another team", async () => {
  const fixture = createFixture(1);
  await Promise.all(makeIds('burst', 50).map(id => fixture.submit(id)));
  await fixture.submit('own0', {team: 'beta'});
  await fixture.submit('own1', {team: 'beta'});
  for (const index of [0, 1, 2, 3]) {
    await fixture.finish(fixture.started[index] ?? '');
  }
  assert.equal(
    fixture.started.slice(0, 5).filter(id => id.startsWith('own')),
    ['own0', 'own1'],
  );
});

// Guards against one team's requests filling the queue and locking out others.
test('a full queue evicts a request of the largest team', async () => {
  const fixture = createFixture(0, 3);
  await Promise.all(makeIds('burst', 3).map(id => fixture.submit(id)));
  await fixture.submit('own', {team: 'beta'});
  await fixture.submit('burst3');
  assert.equal(fixture.outcomes, {burst2: 'overloaded', burst3: 'overloaded'});
});

test('enforces the limits of each team separately', async () => {
  const fixture = createFixture(10);
  const teamLimits = {maxConcurrentRequests: 2, requestsPerSecond: 1_000};
  await Promise.all(
    makeIds('r', 3).map(id => fixture.submit(id, {teamLimits})),
  );
  await fixture.submit('other', {team: 'beta', teamLimits});
  assert.equal(fixture.outcomes, {r2: 'rate-limited'});
  await fixture.finish('r0');
  await fixture.submit('r4', {teamLimits});
  assert.equal(fixture.started, ['r0', 'r1', 'other', 'r4']);
});

// Guards against a request staying in a stalled queue past its deadline.
test('refuses a queued request when its deadline passes', async () => {
  const fixture = createFixture(0);
  await fixture.submit('a', {deadlineAtMs: 300});
  await fixture.advance(299);
  assert.equal(fixture.outcomes, {});
  await fixture.advance(1);
  assert.equal(fixture.outcomes, {a: 'deadline-exceeded'});
  assert.is(fixture.gate.inFlightCount, 0);
});

// Guards against a request waiting until its deadline although the estimates
// already show that it cannot be met, and against simultaneous retries.
test('refuses unmeetable requests immediately with jittered retries', async () => {
  const fixture = createFixture(1);
  await fixture.submit('a');
  await fixture.advance(1_000);
  await fixture.finish('a');
  await Promise.all(makeIds('b', 4).map(id => fixture.submit(id)));
  const deadlineAtMs = fixture.clock.monotonicMs() + 500;
  await Promise.all(
    makeIds('c', 5).map(id => fixture.submit(id, {deadlineAtMs})),
  );
  assert.equal(
    makeIds('c', 5).map(id => fixture.outcomes[id]),
    makeIds('c', 5).map(() => 'deadline-unmeetable'),
  );
  assert.is(new Set(fixture.retryAfterMs).size, 5);
});

// Guards against requests staying queued after a slower load of the replica
// makes their deadlines unmeetable.
test('refuses queued requests that a delayed load cannot serve in time', async () => {
  const fixture = createFixture(2);
  fixture.availability = {status: 'warming', readyInMs: 1_000};
  await fixture.submit('short', {deadlineAtMs: 2_000});
  await fixture.submit('long', {deadlineAtMs: 9_000});
  await fixture.submit('shorter', {deadlineAtMs: 500});
  assert.equal(fixture.outcomes, {shorter: 'not-warm'});
  fixture.availability = {status: 'warming', readyInMs: 5_000};
  await fixture.advance(100);
  assert.equal(fixture.outcomes, {shorter: 'not-warm', short: 'not-warm'});
  fixture.availability = {status: 'serving'};
  await fixture.advance(5_000);
  assert.equal(fixture.started, ['long']);
});

// Guards against a disconnected caller's request taking capacity from others.
test('removes a queued request when its caller disconnects', async () => {
  const fixture = createFixture(0);
  const abort = new AbortController();
  const target = {
    key: 'm',
    findAvailability: () => fixture.availability,
    tryReserve: () => null,
  };
  const request = makeRequest('a', 0, {});
  const run = fixture.gate.run(request, target, async () => 1, abort.signal);
  assert.is(fixture.gate.queuedCount, 1);
  abort.abort();
  const thrown: unknown = await run.catch((error: unknown) => error);
  assert.instance(thrown, CallerDisconnected);
  assert.is(fixture.gate.inFlightCount, 0);
});

test('limits the total size of the queued requests', async () => {
  const fixture = createFixture(0);
  await fixture.submit('a', {sizeBytes: 900});
  await fixture.submit('b', {sizeBytes: 200});
  assert.equal(fixture.outcomes, {b: 'overloaded'});
});

test.run();
