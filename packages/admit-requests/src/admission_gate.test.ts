import {ManualClock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {AdmissionGate} from './admission_gate.js';
import {CallerGone} from './caller_gone.js';
import {type AdmissionRequest, type Outlook} from './types.js';

const test = suite('admission gate');

interface World {
  clock: ManualClock;
  places: number;
  outlook: Outlook;
  started: string[];
  /** Final answers by request: `answered` or the kind of the refusal. */
  ended: Record<string, string>;
  retryAfterMs: number[];
  ask(id: string, terms?: Partial<AdmissionRequest>): Promise<void>;
  finish(id: string): Promise<void>;
  pass(deltaMs: number): Promise<void>;
  gate: AdmissionGate;
}

const settle = () => new Promise<void>(resolve => setImmediate(resolve));

function makeWorld(places: number, queueLimit = 100): World {
  const clock = new ManualClock();
  const random = new SeededRandom(1);
  const options = {random, queueLimit, queueLimitBytes: 1_000};
  const gate = new AdmissionGate(clock, options);
  const finishers = new Map<string, () => void>();
  const target = {
    key: 'm',
    findOutlook: () => world.outlook,
    takePlace: () => (world.places > 0 ? world.places-- : null),
  };
  const ask = async (id: string, terms: Partial<AdmissionRequest> = {}) => {
    const request = makeRequest(id, clock.monotonicMs(), terms);
    const done = gate.run(request, target, async ({noteServed}) => {
      world.started.push(id);
      await new Promise<void>(resolve => finishers.set(id, resolve));
      noteServed();
      world.places += 1;
    });
    void done.then(
      () => (world.ended[id] = 'answered'),
      (thrown: TypedError) => {
        world.ended[id] = thrown.kind;
        assert.is(thrown.run, 'not-run');
        world.retryAfterMs.push(thrown.retryAfterMs ?? 0);
      },
    );
    await settle();
  };
  const finish = async (id: string) => {
    finishers.get(id)?.();
    await settle();
  };
  const pass = async (deltaMs: number) => {
    clock.advance(deltaMs);
    await settle();
  };
  const outlook: Outlook = {status: 'serving'};
  const seen = {started: [], ended: {}, retryAfterMs: []};
  const world: World = {
    clock,
    places,
    outlook,
    gate,
    ask,
    finish,
    pass,
    ...seen,
  };
  return world;
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

function names(prefix: string, count: number): string[] {
  return Array.from({length: count}, (_, index) => `${prefix}${index}`);
}

test('starts by priority, then by deadline', async () => {
  const world = makeWorld(1);
  await world.ask('first');
  await world.ask('late', {deadlineAtMs: 9_000});
  await world.ask('early', {deadlineAtMs: 8_000});
  await world.ask('urgent', {priority: 9});
  await world.finish('first');
  await world.finish('urgent');
  await world.finish('early');
  assert.equal(world.started, ['first', 'urgent', 'early', 'late']);
});

/*
 * One team sends fifty requests at once, and another team sends two just
 * after. Served in order of arrival the two would wait for all fifty; with
 * turns between the teams each waits for one of the flood at a time.
 */
test('a flood of one team does not starve another', async () => {
  const world = makeWorld(1);
  await Promise.all(names('flood', 50).map(id => world.ask(id)));
  await world.ask('own0', {team: 'beta'});
  await world.ask('own1', {team: 'beta'});
  for (const index of [0, 1, 2, 3]) {
    await world.finish(world.started[index] ?? '');
  }
  assert.equal(
    world.started.slice(0, 5).filter(id => id.startsWith('own')),
    ['own0', 'own1'],
  );
});

/*
 * A queue is full of one team's requests and another team's request comes.
 * The newest of the flood makes room and gets its final answer at once.
 */
test('a full queue gives up a request of the longest team', async () => {
  const world = makeWorld(0, 3);
  await Promise.all(names('flood', 3).map(id => world.ask(id)));
  await world.ask('own', {team: 'beta'});
  await world.ask('flood3');
  assert.equal(world.ended, {flood2: 'overloaded', flood3: 'overloaded'});
});

test('refuses beyond the limits of a team, and not other teams', async () => {
  const world = makeWorld(10);
  const teamLimits = {maxConcurrentRequests: 2, requestsPerSecond: 1_000};
  await Promise.all(names('r', 3).map(id => world.ask(id, {teamLimits})));
  await world.ask('other', {team: 'beta', teamLimits});
  assert.equal(world.ended, {r2: 'rate-limited'});
  await world.finish('r0');
  await world.ask('r4', {teamLimits});
  assert.equal(world.started, ['r0', 'r1', 'other', 'r4']);
});

/*
 * A user waits in a queue in which nothing moves. At the deadline, and not
 * later, comes the answer that nothing was run.
 */
test('answers at the moment the deadline passes in the queue', async () => {
  const world = makeWorld(0);
  await world.ask('a', {deadlineAtMs: 300});
  await world.pass(299);
  assert.equal(world.ended, {});
  await world.pass(1);
  assert.equal(world.ended, {a: 'deadline-exceeded'});
  assert.is(world.gate.inFlightCount, 0);
});

/*
 * Answers take a second and three requests wait. One more that has half a
 * second can't be met; it must be told at once and not at its deadline.
 */
test('refuses at once what can not be met, with spread times', async () => {
  const world = makeWorld(1);
  await world.ask('a');
  await world.pass(1_000);
  await world.finish('a');
  await Promise.all(names('b', 4).map(id => world.ask(id)));
  const deadlineAtMs = world.clock.monotonicMs() + 500;
  await Promise.all(names('c', 5).map(id => world.ask(id, {deadlineAtMs})));
  assert.equal(
    names('c', 5).map(id => world.ended[id]),
    names('c', 5).map(() => 'deadline-unmeetable'),
  );
  assert.is(new Set(world.retryAfterMs).size, 5);
});

/*
 * Users wait for a replica that is being loaded. The weight store becomes
 * slow and the load takes longer than some can wait. Those are told as soon
 * as that is known; the others get their answer once the replica is warm.
 */
test('gives up those that a late load can not serve any more', async () => {
  const world = makeWorld(2);
  world.outlook = {status: 'warming', expectedInMs: 1_000};
  await world.ask('short', {deadlineAtMs: 2_000});
  await world.ask('long', {deadlineAtMs: 9_000});
  await world.ask('shorter', {deadlineAtMs: 500});
  assert.equal(world.ended, {shorter: 'not-warm'});
  world.outlook = {status: 'warming', expectedInMs: 5_000};
  await world.pass(100);
  assert.equal(world.ended, {shorter: 'not-warm', short: 'not-warm'});
  world.outlook = {status: 'serving'};
  await world.pass(5_000);
  assert.equal(world.started, ['long']);
});

/*
 * A user closes the app while the request is queued. It leaves the queue at
 * once, so that it takes nobody's turn.
 */
test('forgets a queued request whose caller has gone', async () => {
  const world = makeWorld(0);
  const abort = new AbortController();
  const target = {
    key: 'm',
    findOutlook: () => world.outlook,
    takePlace: () => null,
  };
  const request = makeRequest('a', 0, {});
  const run = world.gate.run(request, target, async () => 1, abort.signal);
  assert.is(world.gate.queuedCount, 1);
  abort.abort();
  const thrown: unknown = await run.catch((error: unknown) => error);
  assert.instance(thrown, CallerGone);
  assert.is(world.gate.inFlightCount, 0);
});

test('bounds the memory of what is queued', async () => {
  const world = makeWorld(0);
  await world.ask('a', {sizeBytes: 900});
  await world.ask('b', {sizeBytes: 200});
  assert.equal(world.ended, {b: 'overloaded'});
});

test.run();
