import {randomUUID} from 'node:crypto';
import {isDeterministic} from '@mimosatack/answer-streams';
import {SystemClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import fastify from 'fastify';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {
  type Engine,
  expectedText,
  makePrompt,
  receive,
  startWarmEngine,
  waitUntil,
} from './caller_fixture.js';
import {
  type EngineRun,
  relayStream,
  resumeStream,
  wrapResponseStream,
} from './index.js';

const test = suite('a second run on another replica');

/** By this event, the answers to two prompts differ. */
const KILL_AFTER_ID = 10;

type Prompt = ReturnType<typeof makePrompt>;

async function startRun(engine: Engine, prompt: Prompt): Promise<EngineRun> {
  const engineRequestId = randomUUID();
  const {baseUrl} = engine;
  const response = await request(`${baseUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-request-id': engineRequestId,
    },
    body: JSON.stringify({...prompt, stream: true}),
  });
  return {
    backendServerId: engine.core.options.backendServerId,
    ...{engineRequestId, openStream: wrapResponseStream(response)},
    resume: (fromId, signal) =>
      resumeStream({baseUrl, engineRequestId}, fromId, signal),
  };
}

/** Relays `prompt` from one engine; the other runs `second` after a crash. */
async function relayOverTwo(prompt: Prompt, second: Prompt) {
  const engines = [
    await startWarmEngine('r1', {tokenMs: 2}),
    await startWarmEngine('r2', {tokenMs: 0}),
  ] as const;
  const server = fastify();
  server.get('/', async (_incoming, reply) => {
    await relayStream({
      ...{requestToken: 'token', firstId: 0, reply},
      ...{maxAnswerBytes: 10_000_000, callerStallMs: 10_000},
      ...{clock: new SystemClock(), random: new SeededRandom(1)},
      logger: new MemoryEventLogger(),
      signal: new AbortController().signal,
      run: await startRun(engines[0], prompt),
      runOnOtherReplica: isDeterministic(prompt)
        ? () => startRun(engines[1], second)
        : undefined,
    });
    return reply;
  });
  const baseUrl = await server.listen({host: '127.0.0.1', port: 0});
  let lastEventId = -1;
  const receiving = receive(await request(baseUrl), Infinity, id => {
    lastEventId = id;
  });
  await waitUntil(() => lastEventId >= KILL_AFTER_ID);
  await engines[0].kill();
  const received = await receiving;
  await server.close();
  const secondRuns = engines[1].core.observe().requests.length;
  await engines[1].close();
  return {...received, secondRuns};
}

test('continues where the first run crashed', async () => {
  // Guards against failing a stream that another replica can complete.
  const prompt = makePrompt(300, {temperature: 0});
  const received = await relayOverTwo(prompt, prompt);
  assert.is(received.text, expectedText(prompt));
  assert.ok(received.isEnded);
});

test('is not relayed when its output differs', async () => {
  const prompt = makePrompt(300, {seed: 7});
  const other = {...prompt, messages: [{role: 'user', content: 'rye bread'}]};
  const received = await relayOverTwo(prompt, other);
  assert.is(received.errorKind, 'stream-broken');
  assert.ok(expectedText(prompt).startsWith(received.text));
  assert.not(received.isEnded);
  assert.is(received.secondRuns, 1);
});

test('is not started when sampling is random', async () => {
  const prompt = makePrompt(300);
  const received = await relayOverTwo(prompt, prompt);
  assert.is(received.errorKind, 'stream-broken');
  assert.is(received.secondRuns, 0);
});

test.run();
