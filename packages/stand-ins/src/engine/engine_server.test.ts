import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {type RunningBackend} from '../shared/backend_server.js';
import {expectedCompletionText} from './completion.js';
import {type EngineStandIn} from './engine_core.js';
import {type EngineOptions} from './engine_options.js';
import {startEngineStandIn} from './engine_server.js';

const test = suite('engine server');

const PROMPT = {
  model: 'm',
  prompt: 'the quick brown fox jumps',
  max_tokens: 40,
};

interface StreamEvent {
  id: number;
  requestId: string;
  text: string;
}

interface Chunk {
  request_id: string;
  choices: Array<{text: string}>;
}

type Engine = RunningBackend<EngineStandIn>;

async function withEngine(
  options: Partial<EngineOptions>,
  body: (engine: Engine) => Promise<void>,
): Promise<void> {
  const fast = {initMs: 0, firstTokenMs: 0, tokenMs: 0, unloadMs: 0};
  const engine = await startEngineStandIn({...fast, ...options});
  await body(engine).finally(() => engine.close());
}

function makeLoadOrder(slotId: string, fencingNumber: number) {
  const ref = {model: 'm', adapter: null, version: '1'};
  const header = {orderId: slotId, order: 'load', slotId, fencingNumber};
  return {...header, ...ref, memoryMib: 1};
}

function post(engine: Engine, path: string, body: object, requestId = 'q1') {
  return request(engine.baseUrl + path, {
    method: 'POST',
    headers: {'content-type': 'application/json', 'x-request-id': requestId},
    body: JSON.stringify(body),
  });
}

async function warmUp(engine: Engine): Promise<void> {
  await (await post(engine, '/v1/orders', makeLoadOrder('s1', 1))).body.dump();
  while (engine.core.readState().replicas[0]?.status !== 'warm') {
    await new Promise(resolve => setTimeout(resolve, 1));
  }
}

function parseEvents(text: string): StreamEvent[] {
  return text
    .split('\n\n')
    .map(event => /^id: (\d+)\ndata: (\{.*)$/.exec(event))
    .flatMap(match => (match ? [match] : []))
    .map(([, id, data]) => {
      const chunk = JSON.parse(data ?? '') as Chunk;
      const content = chunk.choices[0]?.text ?? '';
      return {id: Number(id), requestId: chunk.request_id, text: content};
    });
}

function joinInOrder(events: readonly StreamEvent[]): string {
  return [...new Map(events.map(event => [event.id, event])).values()]
    .sort((a, b) => a.id - b.id)
    .map(event => event.text)
    .join('');
}

async function readStream(engine: Engine): Promise<string> {
  const body = {...PROMPT, stream: true};
  const answer = await post(engine, '/v1/completions', body);
  return answer.body.text();
}

test('answers a stock chat request with the expected text', () =>
  withEngine({}, async engine => {
    await warmUp(engine);
    const messages = [{role: 'user', content: 'good morning'}];
    const chat = {model: 'm', messages};
    const answer = await post(engine, '/v1/chat/completions', chat);
    const body = (await answer.body.json()) as {
      choices: Array<{message: {content: string}}>;
    };
    const text = body.choices[0]?.message.content;
    assert.is(text, expectedCompletionText(chat));
  }));

test('reorders and doubles chunks, but numbers them right', () =>
  withEngine({}, async engine => {
    await warmUp(engine);
    engine.core.faults.set({reorderFraction: 0.5, doubleFraction: 0.5});
    const events = parseEvents(await readStream(engine));
    const ids = events.map(event => event.id);
    assert.ok(ids.some((id, index) => id < (ids[index - 1] ?? 0)));
    assert.ok(new Set(ids).size < ids.length);
    assert.is(joinInOrder(events), expectedCompletionText(PROMPT));
  }));

test('sends a chunk of another request', () =>
  // Reproduces an engine that sends a chunk of one stream on the connection of
  // another request.
  withEngine({}, async engine => {
    await warmUp(engine);
    engine.core.faults.set({crossedAnswers: 1});
    const events = parseEvents(await readStream(engine));
    const foreign = events.filter(event => event.requestId !== 'q1');
    assert.is(foreign.length, 1);
    assert.is.not(joinInOrder(events), expectedCompletionText(PROMPT));
  }));

test('breaks a stream and resumes it without running again', () =>
  // Guards against a second run when a caller resumes a broken stream.
  withEngine({}, async engine => {
    await warmUp(engine);
    engine.core.faults.set({resetMidStream: 1, resetAfterChunks: 3});
    const outcome = await readStream(engine).catch(() => 'broken');
    assert.is(outcome, 'broken');
    const url = `${engine.baseUrl}/v1/requests/q1/stream?from=0`;
    const text = await (await request(url)).body.text();
    assert.is(joinInOrder(parseEvents(text)), expectedCompletionText(PROMPT));
    assert.ok(text.endsWith('id: 40\ndata: [DONE]\n\n'));
    assert.is(engine.core.observe().requests.length, 1);
  }));

test('tells a reset before the run from one after it', () =>
  withEngine({}, async engine => {
    await warmUp(engine);
    const countRuns = () => engine.core.observe().requests.length;
    const isAnswered = () =>
      post(engine, '/v1/completions', PROMPT).then(
        () => true,
        () => false,
      );
    engine.core.faults.set({resetBeforeRead: 1});
    assert.is(await isAnswered(), false);
    engine.core.faults.set({resetAfterRead: 1});
    assert.is(await isAnswered(), false);
    assert.is(countRuns(), 0);
    engine.core.faults.set({resetAfterRun: 1});
    assert.is(await isAnswered(), false);
    assert.is(countRuns(), 1);
  }));

test('takes an order that was long on the way', () =>
  // Reproduces a stale order: the order of a previous steward arrives after that
  // of the current one, and an engine without fencing applies it.
  withEngine({fencing: 'ignores'}, async engine => {
    engine.core.faults.set({holdOrders: 1});
    const late = post(engine, '/v1/orders', makeLoadOrder('s1', 1));
    while (engine.core.faults.values.holdOrders > 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    await (
      await post(engine, '/v1/orders', makeLoadOrder('s2', 2))
    ).body.dump();
    await (await post(engine, '/control/release-orders', {})).body.dump();
    assert.is((await late).statusCode, 202);
    const stale = engine.core.observe().orders.map(each => each.isStale);
    assert.equal(stale, [false, true]);
  }));

test('carries out an order whose answer is lost', () =>
  // Reproduces an order that is applied although its sender sees a failure.
  withEngine({}, async engine => {
    engine.core.faults.set({loseOrderAnswers: 1});
    const outcome = await post(
      engine,
      '/v1/orders',
      makeLoadOrder('s1', 1),
    ).then(
      () => 'answered',
      () => 'lost',
    );
    assert.is(outcome, 'lost');
    assert.is(engine.core.observe().replicas.length, 1);
  }));

test('refuses to set a fault that does not exist', () =>
  withEngine({}, async engine => {
    const unknown = await post(engine, '/control/faults', {nonsense: 1});
    assert.is(unknown.statusCode, 400);
    const wrongType = await post(engine, '/control/faults', {cutNodes: 'r1'});
    assert.is(wrongType.statusCode, 400);
  }));

test.run();
