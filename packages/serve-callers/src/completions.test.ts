import OpenAI from 'openai';
import {expectedCompletionText} from '@mimosatack/stand-ins';
import {request} from 'undici';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type Loopback,
  type LoopbackOptions,
  MODEL,
  TOKENS,
  startLoopback,
  waitUntil,
} from './loopback_fixture.js';

const test = suite('completions');

const PROMPT = {model: MODEL, prompt: 'the quick brown fox', max_tokens: 8};

interface ErrorAnswer {
  error: {kind: string; run: string; remedy: string; retryAfterMs?: number};
}

async function withLoopback(
  options: LoopbackOptions,
  body: (loopback: Loopback) => Promise<void>,
): Promise<void> {
  const loopback = await startLoopback(options);
  await body(loopback).finally(() => loopback.close());
}

function post(
  {baseUrl}: Loopback,
  body: unknown,
  headers: Record<string, string> = {},
  signal?: AbortSignal,
) {
  return request(`${baseUrl}/v1/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${TOKENS.alpha}`,
      ...headers,
    },
    body: typeof body === 'string' ? body : JSON.stringify(body),
    signal,
  });
}

async function readError(sent: ReturnType<typeof post>) {
  const answer = await sent;
  const {error} = (await answer.body.json()) as ErrorAnswer;
  return {status: answer.statusCode, ...error, headers: answer.headers};
}

async function readText(sent: ReturnType<typeof post>): Promise<string> {
  const answer = await sent;
  const text = await answer.body.text();
  assert.is(answer.statusCode, 200, text);
  const {choices} = JSON.parse(text) as {choices: Array<{text: string}>};
  return choices[0]?.text ?? '';
}

test('serves the OpenAI client, streamed and not', () =>
  withLoopback({engines: [{}]}, async ({baseUrl}) => {
    const client = new OpenAI({
      baseURL: `${baseUrl}/v1`,
      apiKey: TOKENS.alpha,
      maxRetries: 0,
    });
    const messages = [{role: 'user' as const, content: 'what is in season'}];
    const asked = {model: MODEL, messages, max_tokens: 20};
    const whole = await client.chat.completions.create(asked);
    const stream = await client.chat.completions.create({
      ...asked,
      stream: true,
    });
    const parts: string[] = [];
    for await (const chunk of stream) {
      parts.push(chunk.choices[0]?.delta.content ?? '');
    }
    const expected = expectedCompletionText(asked);
    assert.is(whole.choices[0]?.message.content, expected);
    assert.is(parts.join(''), expected);
    const models = await client.models.list();
    assert.equal(
      models.data.map(({id, ...rest}) => ({
        id,
        warm: 'warm' in rest && rest.warm,
      })),
      [
        {id: MODEL, warm: true},
        {id: `${MODEL}:tuned`, warm: false},
      ],
    );
  }));

const BAD_INPUTS: Array<{
  what: string;
  body?: unknown;
  headers?: Record<string, string>;
  status: number;
  kind: string;
}> = [
  {what: 'broken JSON', body: '{"model":', status: 400, kind: 'bad-request'},
  {what: 'an empty body', body: '', status: 400, kind: 'bad-request'},
  {what: 'a list', body: '[]', status: 400, kind: 'bad-request'},
  {what: 'no prompt', body: {model: MODEL}, status: 400, kind: 'bad-request'},
  {
    what: 'an unknown model',
    body: {...PROMPT, model: 'none'},
    status: 404,
    kind: 'not-found',
  },
  {
    what: 'an unknown adapter',
    body: {...PROMPT, model: `${MODEL}:none`},
    status: 404,
    kind: 'not-found',
  },
  {
    what: 'a name of an object method as adapter',
    body: {...PROMPT, model: `${MODEL}:constructor`},
    status: 404,
    kind: 'not-found',
  },
  {
    what: 'a body over the limit',
    body: {...PROMPT, prompt: 'x'.repeat(3_000)},
    status: 413,
    kind: 'body-too-large',
  },
  {
    what: 'a deadline over the limit',
    headers: {'x-request-timeout-ms': '999999999999'},
    status: 400,
    kind: 'bad-request',
  },
  {
    what: 'a deadline that is no number',
    headers: {'x-request-timeout-ms': 'soon'},
    status: 400,
    kind: 'bad-request',
  },
  {
    what: 'a deadline that has passed',
    headers: {'x-request-timeout-ms': '-1'},
    status: 504,
    kind: 'deadline-exceeded',
  },
  {
    what: 'a priority out of range',
    headers: {'x-priority': '10'},
    status: 400,
    kind: 'bad-request',
  },
  {
    what: 'a wrong token',
    headers: {authorization: 'Bearer wrong'},
    status: 401,
    kind: 'unauthorized',
  },
  {
    what: 'another content type',
    headers: {'content-type': 'text/plain'},
    status: 415,
    kind: 'unsupported-media-type',
  },
];

test('refuses invalid input with a kind, a remedy and not-run', () =>
  withLoopback({engines: [{}], maxBodyBytes: 2_000}, async loopback => {
    const seen = await Promise.all(
      BAD_INPUTS.map(async ({body, headers}) => {
        const error = await readError(post(loopback, body ?? PROMPT, headers));
        const {status, kind, run, remedy} = error;
        return {status, kind, run, hasRemedy: remedy !== ''};
      }),
    );
    assert.equal(
      BAD_INPUTS.map(({what}, index) => ({what, ...seen[index]})),
      BAD_INPUTS.map(({what, status, kind}) => {
        return {what, status, kind, run: 'not-run', hasRemedy: true};
      }),
    );
    const wrongMethod = await request(`${loopback.baseUrl}/v1/completions`);
    assert.is(wrongMethod.statusCode, 405);
    await wrongMethod.body.dump();
    assert.is(
      await readText(post(loopback, PROMPT)),
      expectedCompletionText(PROMPT),
    );
    assert.is(loopback.context.stats.inFlight(), 0);
  }));

// Guards against failing a repeatable request when one engine resets it.
['resetBeforeRead', 'resetAfterRead'].forEach(fault =>
  test(`retries after ${fault}`, () =>
    withLoopback({engines: [{}, {}]}, async loopback => {
      loopback.engines.forEach(({core}) => core.setFaults({[fault]: 1}));
      const texts = await Promise.all(
        [1, 2].map(() => readText(post(loopback, PROMPT))),
      );
      assert.equal(
        texts,
        [1, 2].map(() => expectedCompletionText(PROMPT)),
      );
      assert.is(loopback.context.stats.read().retried, 2);
    })),
);

// Guards against a second run when the connection breaks after the engine has
// read the request.
test('does not retry an unrepeatable request', () =>
  withLoopback({engines: [{}, {}]}, async loopback => {
    loopback.engines.forEach(({core}) => core.setFaults({resetAfterRead: 1}));
    const error = await readError(
      post(loopback, PROMPT, {'idempotency-key': 'own-1'}),
    );
    assert.is(error.run, 'unknown');
    assert.is(loopback.context.stats.read().retried, 0);
  }));

// Guards against relaying another request's answer or a truncated one.
['crossedAnswers', 'malformedAnswers'].forEach(fault =>
  test(`retries instead of relaying ${fault}`, () =>
    withLoopback({engines: [{}, {}]}, async loopback => {
      loopback.engines[0]?.core.setFaults({[fault]: 1});
      loopback.engines[1]?.core.setFaults({[fault]: 1});
      const expected = expectedCompletionText(PROMPT);
      assert.is(await readText(post(loopback, PROMPT)), expected);
    })),
);

// Guards against an engine generating an answer that no caller reads.
test('cancels at the engine when the caller disconnects', () =>
  withLoopback({engines: [{tokenMs: 1_000}]}, async loopback => {
    const abort = new AbortController();
    const sent = post(loopback, PROMPT, {}, abort.signal).catch(() => null);
    const requests = () => loopback.engines[0]?.core.observe().requests ?? [];
    await waitUntil(() => requests()[0]?.outcome === 'running');
    abort.abort();
    await sent;
    await waitUntil(() => requests()[0]?.outcome === 'cancelled');
    await waitUntil(() => loopback.context.stats.inFlight() === 0);
    assert.is(loopback.context.stats.read().callerGone, 1);
  }));

// Guards against queued requests that hang or get no answer.
test('answers every request when all replicas crash', () =>
  withLoopback(
    {
      engines: [
        {tokenMs: 200, maxRunning: 1},
        {tokenMs: 200, maxRunning: 1},
      ],
    },
    async loopback => {
      const sent = Array.from({length: 12}, () =>
        readError(post(loopback, PROMPT, {'x-request-timeout-ms': '2000'})),
      );
      await waitUntil(() => loopback.context.admission.inFlightCount === 12);
      await Promise.all(loopback.engines.map(engine => engine.kill()));
      loopback.engines.forEach(({core}) =>
        loopback.context.board.applyReport({
          backendServerId: core.options.backendServerId,
          reportedAtMs: Infinity,
          engine: null,
          load: core.readState().load,
          isReachable: false,
        }),
      );
      const errors = await Promise.all(sent);
      assert.is(errors.length, 12);
      assert.is(errors.filter(({run}) => run === 'not-run').length >= 8, true);
      assert.is(loopback.context.stats.inFlight(), 0);
    },
  ));

// Guards against requests to a leaving host that the host list shows as live.
test('sends nothing to a host after the first leaving notice', () =>
  withLoopback({engines: [{}, {}]}, async loopback => {
    loopback.context.router.noteLeaving('r0');
    loopback.context.router.setDraining([]);
    await Promise.all(
      Array.from({length: 20}, () => readText(post(loopback, PROMPT))),
    );
    assert.is(loopback.engines[0]?.core.observe().requests.length, 0);
    assert.is(loopback.engines[1]?.core.observe().requests.length, 20);
  }));

// Guards against callers that wait for a cold model until their deadline, and
// against callers that all retry at the same time.
test('refuses a burst for a cold model at once, with spread retry times', () =>
  withLoopback({engines: []}, async loopback => {
    const errors = await Promise.all(
      Array.from({length: 10}, () =>
        readError(post(loopback, PROMPT, {'x-request-timeout-ms': '200'})),
      ),
    );
    assert.equal([...new Set(errors.map(({kind}) => kind))], ['not-warm']);
    assert.is(new Set(errors.map(error => error.retryAfterMs)).size, 10);
    assert.ok(errors.every(({headers}) => headers['retry-after']));
  }));

test.run();
