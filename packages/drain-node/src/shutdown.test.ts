import {ManualClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  DrainGate,
  InFlight,
  type ShutdownEvent,
  ShutdownSequence,
  ShutdownTask,
} from './index.js';

const sequences = suite('shutdown sequence');

function applyAll(inputs: ShutdownEvent[]) {
  const sequence = new ShutdownSequence();
  const steps = inputs.flatMap(input => sequence.apply(input));
  return {phase: sequence.phase, steps: steps.map(step => step.type)};
}

const STOP: ShutdownEvent = {type: 'stop-requested'};
const STARTED: ShutdownEvent = {type: 'started', isJoined: true};

sequences('a planned stop goes through all phases in order', () => {
  const {phase, steps} = applyAll([
    STARTED,
    STOP,
    {type: 'callers-told'},
    {type: 'nothing-in-flight'},
    {type: 'handed-over'},
    {type: 'closed'},
  ]);
  assert.is(phase, 'ended');
  assert.equal(steps, [
    'announce',
    'refuse-new-work',
    'hand-over',
    'close',
    'exit',
  ]);
});

// Guards against refusing callers that still use a cached address because no work
// was in flight when the stop began.
sequences('an idle node keeps serving until callers are informed', () => {
  const {phase} = applyAll([STARTED, STOP, {type: 'nothing-in-flight'}]);
  assert.is(phase, 'leaving');
});

// Guards against a node that hangs, or exits without leaving the cluster it just
// joined, when the signal arrives during startup.
sequences('a stop during startup waits for startup to finish', () => {
  const joined = applyAll([STOP, STARTED]);
  assert.equal(joined.steps, ['abort-start', 'announce']);
  const unknown = applyAll([STOP, {type: 'started', isJoined: false}]);
  assert.equal(unknown.steps, ['abort-start', 'close']);
});

sequences('a stopping node can be cut off in any phase, but only once', () => {
  const cut: ShutdownEvent = {type: 'cut', reason: 'second-signal'};
  assert.equal(applyAll([STARTED, cut]).steps, []);
  assert.equal(applyAll([STARTED, STOP, cut, cut]).steps, [
    'announce',
    'cut-off',
    'exit',
  ]);
});

sequences.run();

const tasks = suite('shutdown task');

const TELL_CALLERS_MS = 1_000;
const GRACE_MS = 10_000;

function createFixture(overrides: {handOver?: () => Promise<void>} = {}) {
  const clock = new ManualClock();
  const logger = new MemoryEventLogger();
  const inFlight = new InFlight(clock);
  const gate = new DrainGate(inFlight);
  const performed: string[] = [];
  const record = (name: string) => async () => void performed.push(name);
  const task = new ShutdownTask({
    ...{clock, logger, gate},
    actions: {
      abortStart: () => performed.push('abort-start'),
      announce: () => performed.push('announce'),
      handOver: overrides.handOver ?? record('hand-over'),
      close: record('close'),
    },
    addressExpiryMs: TELL_CALLERS_MS,
    graceMs: GRACE_MS,
  });
  return {clock, logger, inFlight, gate, performed, task};
}

// Guards against cutting off a caller whose request arrives after the signal, over
// a cached address, and is still running when the node would exit.
tasks('work that arrives while callers are informed is completed', async () => {
  const {clock, logger, inFlight, gate, performed, task} = createFixture();
  task.noteStarted(true);
  const early = inFlight.begin('early');
  task.requestStop('SIGTERM');
  assert.is(gate.state, 'leaving');
  const late = inFlight.begin('late');
  early.end();
  clock.advance(TELL_CALLERS_MS);
  assert.is(gate.state, 'refusing');
  await Promise.resolve();
  assert.equal(performed, ['announce']);
  late.end();
  assert.is(await task.exited, 0);
  assert.equal(performed, ['announce', 'hand-over', 'close']);
  assert.is(logger.fieldsOf('shutdown-finished').length, 1);
});

tasks('the end of the grace period logs the requests cut off', async () => {
  const {clock, logger, inFlight, gate, task} = createFixture();
  task.noteStarted(true);
  inFlight.begin('POST /v1/completions').setRequestId('r1.x');
  task.requestStop('SIGTERM');
  clock.advance(GRACE_MS);
  assert.ok(gate.abortSignal.aborted);
  clock.advance(1_000);
  assert.is(await task.exited, 3);
  const [cut] = logger.fieldsOf('shutdown-cut-off');
  assert.is(cut?.reason, 'grace-over');
  assert.equal(cut?.requests, [
    {work: 'POST /v1/completions', requestId: 'r1.x', ageMs: GRACE_MS},
  ]);
  assert.equal(logger.fieldsOf('shutdown-finished'), []);
});

tasks('a second signal cuts the shutdown short', async () => {
  const {logger, inFlight, gate, task} = createFixture();
  task.noteStarted(true);
  const work = inFlight.begin('stream');
  gate.abortSignal.addEventListener('abort', () => work.end());
  task.requestStop('SIGTERM');
  task.requestStop('SIGINT');
  task.requestStop('SIGINT');
  assert.is(await task.exited, 3);
  assert.equal(
    logger.fieldsOf('shutdown-cut-off').map(({reason}) => reason),
    ['second-signal'],
  );
});

// Guards against a node that runs until the grace period ends because the state
// can't be handed over without a peer.
tasks('a failed step does not keep the process from exiting', async () => {
  const {clock, logger, task} = createFixture({
    handOver: () => Promise.reject(new Error('no peer')),
  });
  task.noteStarted(true);
  task.requestStop('SIGTERM');
  clock.advance(TELL_CALLERS_MS);
  assert.is(await task.exited, 0);
  assert.is(logger.fieldsOf('task-failed').length, 1);
});

tasks.run();
