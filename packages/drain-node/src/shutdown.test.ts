import {ManualClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  DrainGate,
  InFlight,
  type ShutdownInput,
  ShutdownSequence,
  ShutdownTask,
} from './index.js';

const sequences = suite('shutdown sequence');

function playAll(inputs: ShutdownInput[]) {
  const sequence = new ShutdownSequence();
  const steps = inputs.flatMap(input => sequence.take(input));
  return {phase: sequence.phase, steps: steps.map(step => step.type)};
}

const STOP: ShutdownInput = {type: 'stop-requested'};
const STARTED: ShutdownInput = {type: 'started', isJoined: true};

sequences('a planned stop goes through all phases in order', () => {
  const {phase, steps} = playAll([
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

sequences('a moment without work does not end it before callers heard', () => {
  // A caller would be refused a connection: nothing is in flight when the
  // stop begins, but callers still hold the address for a few seconds.
  const {phase} = playAll([STARTED, STOP, {type: 'nothing-in-flight'}]);
  assert.is(phase, 'leaving');
});

sequences('a stop while starting waits for the start to end', () => {
  // The node would hang, or vanish from under peers that it has just joined:
  // the signal comes before the start has ended.
  const joined = playAll([STOP, STARTED]);
  assert.equal(joined.steps, ['abort-start', 'announce']);
  const unknown = playAll([STOP, {type: 'started', isJoined: false}]);
  assert.equal(unknown.steps, ['abort-start', 'close']);
});

sequences('a cut ends it in any phase, but only once and when stopping', () => {
  const cut: ShutdownInput = {type: 'cut', reason: 'second-signal'};
  assert.equal(playAll([STARTED, cut]).steps, []);
  assert.equal(playAll([STARTED, STOP, cut, cut]).steps, [
    'announce',
    'cut-off',
    'exit',
  ]);
});

sequences.run();

const tasks = suite('shutdown task');

const TELL_MS = 1_000;
const GRACE_MS = 10_000;

function createFixture(overrides: {handOver?: () => Promise<void>} = {}) {
  const clock = new ManualClock();
  const logger = new MemoryEventLogger();
  const inFlight = new InFlight(clock);
  const gate = new DrainGate(inFlight);
  const done: string[] = [];
  const note = (name: string) => async () => void done.push(name);
  const task = new ShutdownTask({
    ...{clock, logger, gate},
    actions: {
      abortStart: () => done.push('abort-start'),
      announce: () => done.push('announce'),
      handOver: overrides.handOver ?? note('hand-over'),
      close: note('close'),
    },
    tellCallersMs: TELL_MS,
    graceMs: GRACE_MS,
  });
  return {clock, logger, inFlight, gate, done, task};
}

tasks(
  'work that arrives while callers are told is served to its end',
  async () => {
    // A caller with a cached address would be cut off: its request arrives
    // after the signal and is still running when the node would exit.
    const {clock, logger, inFlight, gate, done, task} = createFixture();
    task.noteStarted(true);
    const early = inFlight.begin('early');
    task.requestStop('SIGTERM');
    assert.is(gate.state, 'leaving');
    const late = inFlight.begin('late');
    early.end();
    clock.advance(TELL_MS);
    assert.is(gate.state, 'refusing');
    await Promise.resolve();
    assert.equal(done, ['announce']);
    late.end();
    assert.is(await task.exited, 0);
    assert.equal(done, ['announce', 'hand-over', 'close']);
    assert.is(logger.fieldsOf('shutdown-finished').length, 1);
  },
);

tasks('the end of the grace says exactly what is cut off', async () => {
  const {clock, logger, inFlight, gate, task} = createFixture();
  task.noteStarted(true);
  inFlight.begin('POST /v1/completions').nameRequest('r1.x');
  task.requestStop('SIGTERM');
  clock.advance(GRACE_MS);
  assert.ok(gate.cutSignal.aborted);
  clock.advance(1_000);
  assert.is(await task.exited, 3);
  const [cut] = logger.fieldsOf('shutdown-cut-off');
  assert.is(cut?.reason, 'grace-over');
  assert.equal(cut?.requests, [
    {work: 'POST /v1/completions', requestId: 'r1.x', ageMs: GRACE_MS},
  ]);
  assert.equal(logger.fieldsOf('shutdown-finished'), []);
});

tasks('a second signal ends it at once', async () => {
  const {logger, inFlight, gate, task} = createFixture();
  task.noteStarted(true);
  const work = inFlight.begin('stream');
  gate.cutSignal.addEventListener('abort', () => work.end());
  task.requestStop('SIGTERM');
  task.requestStop('SIGINT');
  task.requestStop('SIGINT');
  assert.is(await task.exited, 3);
  assert.equal(
    logger.fieldsOf('shutdown-cut-off').map(({reason}) => reason),
    ['second-signal'],
  );
});

tasks('a step that fails does not keep the node from ending', async () => {
  // The node would run until the grace is over: the ticket table can't be
  // handed over since no peer is there.
  const {clock, logger, task} = createFixture({
    handOver: () => Promise.reject(new Error('no peer')),
  });
  task.noteStarted(true);
  task.requestStop('SIGTERM');
  clock.advance(TELL_MS);
  assert.is(await task.exited, 0);
  assert.is(logger.fieldsOf('task-failed').length, 1);
});

tasks.run();
