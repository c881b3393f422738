import {ManualClock} from '@mimosatack/clock';
import {type ErrorKind, TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  GENERATION_MS,
  KEPT_GENERATIONS,
  type KeptAnswer,
  TicketTable,
  type TicketTableOptions,
  generationAt,
} from './index.js';

const ANSWER: KeptAnswer = {
  statusCode: 200,
  contentType: 'text/plain',
  body: Buffer.from('sent'),
};

function createFixture(limits: Partial<TicketTableOptions> = {}) {
  const clock = new ManualClock(100 * GENERATION_MS);
  const table = new TicketTable({clock, ...limits});
  const runs: string[] = [];
  /** Returns the text of the answer, or the error's `kind` and `run`. */
  const send = async (
    keyHash: string,
    extra: {
      generation?: number;
      requestHash?: string;
      timeoutMs?: number;
      run?: () => Promise<KeptAnswer>;
    } = {},
  ): Promise<string> => {
    try {
      const {answer, isReplay} = await table.runOnce(
        {
          keyHash,
          requestHash: extra.requestHash ?? 'same',
          generation: extra.generation ?? generationAt(clock.wallMs()),
          expiresAtMs: clock.monotonicMs() + (extra.timeoutMs ?? 1_000),
        },
        () => {
          runs.push(keyHash);
          return extra.run?.() ?? Promise.resolve(ANSWER);
        },
      );
      return `${String(answer.body)}${isReplay ? ' before' : ''}`;
    } catch (thrown) {
      const {kind, run} = thrown as TypedError;
      return `${kind} ${run}`;
    }
  };
  return {clock, table, runs, send};
}

const fail = (kind: ErrorKind, run: 'not-run' | 'unknown' | 'ran') => () =>
  Promise.reject(new TypedError(kind, 'failed', {run}));

const test = suite('ticket table');

test('replays the stored answer, and rejects a different request', async () => {
  const {runs, send} = createFixture();
  assert.is(await send('k1'), 'sent');
  assert.is(await send('k1'), 'sent before');
  assert.is(await send('k1', {requestHash: 'other'}), 'key-reused unknown');
  assert.equal(runs, ['k1']);
});

test('a key of an expired generation is unknown and not run', async () => {
  // Guards against a second run of a request that is repeated after the node has
  // freed the memory for its key.
  const {clock, runs, send, table} = createFixture();
  const generation = generationAt(clock.wallMs());
  await send('k1');
  clock.advance(KEPT_GENERATIONS * GENERATION_MS);
  assert.is(await send('k1', {generation}), 'outcome-unknown unknown');
  assert.equal(runs, ['k1']);
  assert.is(table.size, 0);
});

test('a clock that is set back does not lower the floor', async () => {
  // Guards against a second run of a removed key that looks new after the clock
  // of the host was corrected by an hour.
  let offsetMs = 60 * GENERATION_MS;
  const real = new ManualClock(100 * GENERATION_MS);
  const clock = {
    wallMs: () => real.wallMs() + offsetMs,
    monotonicMs: () => real.monotonicMs(),
    setTimer: real.setTimer.bind(real),
  };
  const {runs, send} = createFixture({clock});
  const generation = generationAt(real.wallMs());
  offsetMs = 0;
  assert.is(await send('k1', {generation}), 'outcome-unknown unknown');
  assert.equal(runs, []);
});

test('above the limit, old keys are evicted, then new keys rejected', async () => {
  const {clock, runs, send} = createFixture({maxKeys: 2});
  const generation = generationAt(clock.wallMs());
  await send('k1', {generation});
  clock.advance(3 * GENERATION_MS);
  await send('k2');
  await send('k3');
  assert.is(await send('k1', {generation}), 'outcome-unknown unknown');
  assert.is(await send('k4'), 'overloaded not-run');
  assert.equal(runs, ['k1', 'k2', 'k3']);
});

test('only an error with `not-run` allows the key to run again', async () => {
  const {runs, send} = createFixture();
  const rejectNotRun = fail('overloaded', 'not-run');
  assert.is(await send('k1', {run: rejectNotRun}), 'overloaded not-run');
  assert.is(await send('k1'), 'sent');
  const rejectUnknown = fail('outcome-unknown', 'unknown');
  assert.is(await send('k2', {run: rejectUnknown}), 'outcome-unknown unknown');
  assert.is(await send('k2'), 'outcome-unknown unknown');
  const rejectTooLarge = fail('answer-too-large', 'ran');
  assert.is(await send('k3', {run: rejectTooLarge}), 'answer-too-large ran');
  assert.is(await send('k3'), 'answer-not-kept ran');
  assert.equal(runs, ['k1', 'k1', 'k2', 'k3']);
});

test('a repeat waits for the first run, but not past its deadline', async () => {
  // Guards against a concurrent repeat that runs, waits for ever, or is reported
  // as `not-run`.
  const {clock, runs, send} = createFixture();
  let finish: (answer: KeptAnswer) => void = () => undefined;
  const run = () => new Promise<KeptAnswer>(resolve => (finish = resolve));
  const first = send('k1', {run, timeoutMs: 500});
  const second = send('k1', {timeoutMs: 100});
  const third = send('k1', {timeoutMs: 900});
  clock.advance(600);
  assert.is(await first, 'outcome-unknown unknown');
  assert.is(await second, 'outcome-unknown unknown');
  finish(ANSWER);
  assert.is(await third, 'sent before');
  assert.is(await send('k1'), 'sent before');
  assert.equal(runs, ['k1']);
});

test('answers above the limits are not stored, but count as run', async () => {
  const {send, runs} = createFixture({maxAnswerBytes: 4, maxKeptBytes: 6});
  await send('k1');
  await send('k2');
  assert.is(await send('k1'), 'sent before');
  assert.is(await send('k2'), 'answer-not-kept ran');
  assert.equal(runs, ['k1', 'k2']);
});

test('a future prefix or a closed table rejects new keys', async () => {
  const {clock, table, runs, send} = createFixture();
  const generation = generationAt(clock.wallMs()) + 2;
  assert.is(await send('k1', {generation}), 'bad-key not-run');
  await send('k2');
  table.close();
  assert.is(await send('k2'), 'sent before');
  assert.is(await send('k3'), 'shutting-down not-run');
  assert.equal(runs, ['k2']);
});

test.run();
