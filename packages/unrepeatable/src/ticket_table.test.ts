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
  /** Sends a key; resolves with the answer's text, or the kind and the run. */
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

test('gives the kept answer again, and refuses another request', async () => {
  const {runs, send} = createFixture();
  assert.is(await send('k1'), 'sent');
  assert.is(await send('k1'), 'sent before');
  assert.is(await send('k1', {requestHash: 'other'}), 'key-reused unknown');
  assert.equal(runs, ['k1']);
});

test('a key of a forgotten generation is unknown, never run', async () => {
  // A hamper is dispatched twice: the app repeats a request that it had no
  // answer to an hour ago, and the node has freed the memory for it.
  const {clock, runs, send, table} = createFixture();
  const generation = generationAt(clock.wallMs());
  await send('k1');
  clock.advance(KEPT_GENERATIONS * GENERATION_MS);
  assert.is(await send('k1', {generation}), 'outcome-unknown unknown');
  assert.equal(runs, ['k1']);
  assert.is(table.size, 0);
});

test('a clock that is set back forgets nothing', async () => {
  // The host's clock is wrong by an hour and is corrected. A key of the wrong
  // hour was forgotten and looks fresh now; it must not run again.
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

test('too many keys drop the oldest early, then refuse new ones', async () => {
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

test('only a run that handed nothing over frees its key', async () => {
  const {runs, send} = createFixture();
  const refuse = fail('overloaded', 'not-run');
  assert.is(await send('k1', {run: refuse}), 'overloaded not-run');
  assert.is(await send('k1'), 'sent');
  const lose = fail('outcome-unknown', 'unknown');
  assert.is(await send('k2', {run: lose}), 'outcome-unknown unknown');
  assert.is(await send('k2'), 'outcome-unknown unknown');
  const overflow = fail('answer-too-large', 'ran');
  assert.is(await send('k3', {run: overflow}), 'answer-too-large ran');
  assert.is(await send('k3'), 'answer-not-kept ran');
  assert.equal(runs, ['k1', 'k1', 'k2', 'k3']);
});

test('a repeat waits for the first, but not past its deadline', async () => {
  // A parent's app sends a list twice at once over a bad line. The service is
  // slow: the second must not run, nor wait for ever, nor hear `not-run`.
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

test('answers beyond the limits are not kept, but known to have run', async () => {
  const {send, runs} = createFixture({maxAnswerBytes: 4, maxKeptBytes: 6});
  await send('k1');
  await send('k2');
  assert.is(await send('k1'), 'sent before');
  assert.is(await send('k2'), 'answer-not-kept ran');
  assert.equal(runs, ['k1', 'k2']);
});

test('a prefix from the future and a closed table run nothing new', async () => {
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
