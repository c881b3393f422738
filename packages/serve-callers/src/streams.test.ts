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
const MAX_UNREAD = 1024 * 1024;

const streams = suite('streams to callers');

streams('chunks late, doubled, crossed and cut give the right text', () =>
  // A caller would read swapped, doubled and strange words, or half an
  // answer: the engine does all of it at once, and its connection breaks.
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

streams('an engine that dies mid-stream is told, never silent', () =>
  // A caller would take half an answer for the whole one: the engine dies
  // after some words, and nobody can give the rest.
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

streams('a whole answer of another request is not passed on', () =>
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

streams('an answer over its limit ends with its kind', () =>
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

streams('a passed deadline is told, and frees the engine', () => {
  // A caller would read half an answer and no reason: its deadline passes in
  // the middle of the stream. The engine would go on for nobody.
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

streams('a caller that does not read is cut off, with little kept', () =>
  // The node would run out of memory: a caller asks for a long answer and
  // stops reading, and all that the engine sends piles up.
  withEntries(
    async ({first}) => {
      const words = [{role: 'user', content: 'x'.repeat(50_000)}];
      const prompt = {...makePrompt(1_000), messages: words};
      const response = await askForStream(first, prompt);
      const listStalls = () => first.logger.fieldsOf('caller-stalled');
      await waitUntil(
        () => listStalls().length > 0 || first.countUnreadBytes() > MAX_UNREAD,
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

/** Requests whose callers are gone are kept for longer than any test. */
const KEEP = {abandoned: new AbandonedRequests(new SystemClock(), 60_000)};

const resuming = suite('resuming at any node');

resuming('the entry node dies, another gives the rest', () =>
  // A caller would have to ask again and read the start twice: the node that
  // took its request dies mid-stream. No node knows of the request.
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
    KEEP.abandoned.stop();
  }, KEEP),
);

resuming('a whole answer can be had again, also from its very end', () =>
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

resuming("another team's, forged and expired ids are refused alike", () =>
  // A caller would read a stranger's answer, or learn from the refusals which
  // requests exist: it tries an id it has seen, and ids it made up.
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

resuming('a caller that is gone for good frees the engine', () =>
  withEntries(async ({engine, first}) => {
    const response = await askForStream(first, makePrompt(50_000));
    await receive(response, 3);
    await waitUntil(
      () => engine.core.observe().requests[0]?.outcome === 'cancelled',
    );
  }),
);

resuming.run();
