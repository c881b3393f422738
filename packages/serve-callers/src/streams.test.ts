import {type Clock, SystemClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {
  type Engine,
  type Entry,
  LIMITS,
  TOKENS,
  askForStream,
  expectedText,
  makePrompt,
  receive,
  resume,
  startEntry,
  startWarmEngine,
  waitUntil,
} from './caller_fixture.js';
import {AbandonedRequests, type CallerContext} from './index.js';

interface Fixture {
  engine: Engine;
  first: Entry;
  second: Entry;
}

async function withEntries(
  body: (fixture: Fixture) => Promise<void>,
  overrides: Partial<CallerContext> = {},
  tokenMs = 1,
): Promise<void> {
  const engine = await startWarmEngine('r1', {tokenMs});
  const first = await startEntry('entry-1', [engine], overrides);
  const second = await startEntry('entry-2', [engine], overrides);
  try {
    await body({engine, first, second});
  } finally {
    await Promise.all([first.kill(), second.kill(), engine.close()]);
  }
}

const DEADLINE_MS = 12_345;
const MAX_UNREAD_BYTES = 1024 * 1024;

const streams = suite('streams to callers');

streams('repairs reordered, duplicated, crossed and cut chunks', () =>
  // Guards against relaying the chunks of a faulty engine unchecked.
  withEntries(async ({engine, first}) => {
    engine.core.faults.set({
      ...{reorderFraction: 0.2, doubleFraction: 0.2, crossedAnswers: 2},
      ...{resetMidStream: 2, resetAfterChunks: 15},
    });
    const prompt = makePrompt(60);
    const received = await receive(await askForStream(first, prompt));
    assert.is(received.text, expectedText(prompt));
    assert.ok(received.isEnded);
    assert.not(received.isCutOff);
    assert.is(engine.core.observe().requests.length, 1);
  }),
);

streams('an engine crash mid-stream sends an error event', () =>
  // Guards against a partial answer that looks complete.
  withEntries(
    async ({engine, first}) => {
      const prompt = makePrompt(2_000);
      let lastEventId = -1;
      const response = await askForStream(first, prompt);
      const receiving = receive(response, Infinity, id => {
        lastEventId = id;
      });
      await waitUntil(() => lastEventId > 0);
      await engine.kill();
      const received = await receiving;
      assert.is(received.errorKind, 'stream-broken');
      assert.ok(received.isCutOff);
      assert.not(received.isEnded);
      assert.ok(expectedText(prompt).startsWith(received.text));
      assert.is(first.logger.fieldsOf('stream-broken').length, 1);
    },
    {},
    2,
  ),
);

streams('refuses a whole answer of another request', () =>
  withEntries(async ({engine, first}) => {
    engine.core.faults.set({crossedAnswers: 100});
    const answer = await request(`${first.baseUrl}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${TOKENS.prairie}`,
      },
      body: JSON.stringify(makePrompt(5)),
    });
    const {error} = (await answer.body.json()) as {error: {kind: string}};
    assert.is(error.kind, 'backend-failed');
  }),
);

streams('an answer over the limit ends with answer-too-large', () =>
  withEntries(
    async ({first}) => {
      const response = await askForStream(first, makePrompt(500));
      const received = await receive(response);
      assert.is(received.errorKind, 'answer-too-large');
      assert.ok(received.isCutOff);
    },
    {limits: {...LIMITS, maxAnswerBytes: 5_000}},
  ),
);

streams('a passed deadline sends an error and cancels at the engine', () => {
  // Guards against a stream that stops without an error at its deadline, and
  // against an engine that keeps generating.
  const clock = new SystemClock();
  let passDeadline: () => void = () => undefined;
  const setTimer: Clock['setTimer'] = (delayMs, callback) => {
    if (delayMs !== DEADLINE_MS) return clock.setTimer(delayMs, callback);
    passDeadline = callback;
    return {cancel: () => undefined};
  };
  const overrides = {
    clock: {
      setTimer,
      wallMs: () => clock.wallMs(),
      monotonicMs: () => clock.monotonicMs(),
    },
  };
  return withEntries(async ({engine, first}) => {
    const headers = {'x-request-timeout-ms': String(DEADLINE_MS)};
    const response = await askForStream(first, makePrompt(50_000), headers);
    const received = await receive(response, Infinity, () => passDeadline());
    assert.is(received.errorKind, 'deadline-exceeded');
    assert.ok(received.isCutOff);
    await waitUntil(
      () => engine.core.observe().requests[0]?.outcome === 'cancelled',
    );
  }, overrides);
});

streams('cuts off a caller that does not read, with a bounded buffer', () =>
  // Guards against unbounded memory use for a caller that stops reading.
  withEntries(
    async ({first}) => {
      const words = [{role: 'user', content: 'x'.repeat(50_000)}];
      const prompt = {...makePrompt(1_000), messages: words};
      const response = await askForStream(first, prompt);
      const listStalls = () => first.logger.fieldsOf('caller-stalled');
      await waitUntil(
        () =>
          listStalls().length > 0 ||
          first.countUnreadBytes() > MAX_UNREAD_BYTES,
      );
      assert.is(listStalls().length, 1);
      assert.ok(Number(listStalls()[0]?.sentEvents) < 1_000);
      await waitUntil(() => first.gate.inFlight.count === 0);
      await response.body.dump().catch(() => undefined);
    },
    {limits: {...LIMITS, maxAnswerBytes: 2 ** 30, callerStallMs: 100}},
  ),
);

streams.run();

/** The grace period for abandoned requests outlasts the test. */
const LONG_GRACE = {
  abandoned: new AbandonedRequests(new SystemClock(), 60_000),
};

const resuming = suite('resuming at any node');

resuming('another node continues the stream when the entry node crashes', () =>
  // Guards against resuming that depends on state in the crashed node.
  withEntries(async ({engine, first, second}) => {
    const prompt = makePrompt(200);
    const start = await receive(await askForStream(first, prompt), 20);
    await first.kill();
    const response = await resume(
      second,
      start.requestToken,
      start.lastEventId,
    );
    const rest = await receive(response);
    assert.is(start.text + rest.text, expectedText(prompt));
    assert.ok(rest.isEnded);
    assert.is(engine.core.observe().requests.length, 1);
    LONG_GRACE.abandoned.stop();
  }, LONG_GRACE),
);

resuming('a completed answer can be resumed from its start and its end', () =>
  withEntries(async ({first, second}) => {
    const prompt = makePrompt(10);
    const {requestToken, lastEventId} = await receive(
      await askForStream(first, prompt),
    );
    const again = await receive(await resume(second, requestToken, null));
    assert.is(again.text, expectedText(prompt));
    const end = await receive(await resume(second, requestToken, lastEventId));
    assert.equal([end.text, end.isEnded], ['', true]);
  }),
);

resuming("another team's, forged and invalid ids get identical refusals", () =>
  // Guards against reading another team's answer, and against refusals that
  // reveal which requests exist.
  withEntries(async ({first, second}) => {
    const response = await askForStream(first, makePrompt(5));
    const {requestToken} = await receive(response);
    const [form, payload] = requestToken.split('.');
    const forged = `${form}.${payload}.AAAAAAAAAAAAAAAAAAAAAA`;
    const answers = await Promise.all([
      resume(second, requestToken, null, TOKENS.zorza),
      resume(second, forged, null),
      resume(second, 'made-up', null),
    ]);
    const texts = await Promise.all(answers.map(answer => answer.body.text()));
    assert.is(new Set(texts).size, 1);
    assert.equal(
      answers.map(answer => answer.statusCode),
      [404, 404, 404],
    );
  }),
);

resuming('any node cancels a request at its engine', () =>
  withEntries(async ({engine, first, second}) => {
    const response = await askForStream(first, makePrompt(50_000));
    const token = String(response.headers['x-request-id']);
    const answer = await request(
      `${second.baseUrl}/v1/requests/${token}/cancel`,
      {method: 'POST', headers: {authorization: `Bearer ${TOKENS.prairie}`}},
    );
    assert.is(answer.statusCode, 202);
    const received = await receive(response);
    assert.is(received.errorKind, 'stream-broken');
    assert.is(engine.core.observe().requests[0]?.outcome, 'cancelled');
  }),
);

resuming('a caller that does not resume gets its request cancelled', () =>
  withEntries(async ({engine, first}) => {
    const response = await askForStream(first, makePrompt(50_000));
    await receive(response, 3);
    await waitUntil(
      () => engine.core.observe().requests[0]?.outcome === 'cancelled',
    );
  }),
);

resuming.run();
