import {once} from 'node:events';
import {connect} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {ManualClock, SystemClock} from '@mimosatack/clock';
import {DrainGate, InFlight, ShutdownTask} from '@mimosatack/drain-node';
import {MemoryEventLogger} from '@mimosatack/logger';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {
  TOKENS,
  type Engine,
  type Entry,
  askForStream,
  expectedText,
  makePrompt,
  receive,
  startEntry,
  startWarmEngine,
  waitUntil,
} from './caller_fixture.js';

const test = suite('draining the server for callers');

const TELL_CALLERS_MS = 1_000;
const GRACE_MS = 60_000;
const TIMEOUT_MS = 3_000;

interface Fixture {
  engine: Engine;
  entry: Entry;
  /** Drives only the shutdown. */
  clock: ManualClock;
  shutdown: ShutdownTask;
}

async function withEntry(
  body: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  const clock = new ManualClock();
  const gate = new DrainGate(new InFlight(new SystemClock()));
  const engine = await startWarmEngine('r1', {tokenMs: 1});
  const stays = {nodeName: 'entry-2', baseUrl: 'http://127.0.0.1:1'};
  const entry = await startEntry('entry-1', [engine], {
    drainGate: gate,
    listEntries: () => [
      {...stays, failureDomain: 'a', region: 'r', incarnation: 'entry-2.0'},
    ],
  });
  const shutdown = new ShutdownTask({
    ...{clock, gate, addressExpiryMs: TELL_CALLERS_MS, graceMs: GRACE_MS},
    logger: new MemoryEventLogger(),
    actions: {
      abortStart: () => undefined,
      announce: () => undefined,
      handOver: async () => undefined,
      close: () => entry.server.close(),
    },
  });
  shutdown.noteStarted(true);
  try {
    await body({engine, entry, clock, shutdown});
  } finally {
    await Promise.all([entry.kill(), engine.close()]);
  }
}

test('a shutdown under load cuts no stream that began before or after it', () =>
  // Guards against cut streams while the node is replaced and callers still
  // use its address.
  withEntry(async ({entry, clock, shutdown}) => {
    const prompt = makePrompt(300);
    const early = await Promise.all(
      Array.from({length: 10}, () => askForStream(entry, prompt)),
    );
    const earlyTexts = Promise.all(early.map(response => receive(response)));
    shutdown.requestStop('SIGTERM');
    const late = await askForStream(entry, prompt);
    assert.is(late.headers['connection'], 'close');
    assert.is(late.headers['x-entry-state'], 'leaving');
    const lateText = receive(late);
    clock.advance(TELL_CALLERS_MS);
    const received = [...(await earlyTexts), await lateText];
    assert.ok(received.every(({isEnded, isCutOff}) => isEnded && !isCutOff));
    assert.ok(received.every(({text}) => text === expectedText(prompt)));
    assert.is(await shutdown.exited, 0);
  }));

test('each of several streams on a connection is answered after a stop', () =>
  // Guards against requests that have run and are never answered, as the response before
  // ends their connection.
  withEntry(async ({engine, entry, shutdown}) => {
    const count = 3;
    const caller = connect(Number(new URL(entry.baseUrl).port), '127.0.0.1');
    await once(caller, 'connect');
    caller.write(formatStreamRequest(makePrompt(50)).repeat(count));
    await waitUntil(() => engine.core.observe().requests.length === count);
    shutdown.requestStop('SIGTERM');
    const text = await Promise.race([readText(caller), sleep(TIMEOUT_MS, '')]);
    assert.is(text.match(/\[DONE\]/g)?.length, count);
    assert.is(text.match(/^connection: close/gim)?.length, 1);
  }));

test('requests behind others end with their connection', () =>
  // Guards against a stop that waits for requests whose caller has left.
  withEntry(async ({engine, entry}) => {
    const caller = connect(Number(new URL(entry.baseUrl).port), '127.0.0.1');
    await once(caller, 'connect');
    caller.write(formatStreamRequest(makePrompt(20_000)).repeat(2));
    await waitUntil(() => engine.core.observe().requests.length === 2);
    caller.destroy();
    const inFlight = entry.gate.inFlight.whenIdle().then(() => 'none');
    assert.is(
      await Promise.race([inFlight, sleep(TIMEOUT_MS, 'some')]),
      'none',
    );
  }));

test('refuses later requests as not run, with other addresses', () =>
  withEntry(async ({engine, entry, clock, shutdown}) => {
    const running = await askForStream(entry, makePrompt(20_000));
    shutdown.requestStop('SIGTERM');
    clock.advance(TELL_CALLERS_MS);
    const refused = await askForStream(entry, makePrompt(5));
    const {error} = (await refused.body.json()) as RefusalBody;
    assert.equal([error.kind, error.run], ['shutting-down', 'not-run']);
    assert.is(error.info.entries[0]?.nodeName, 'entry-2');
    assert.is(engine.core.observe().requests.length, 1);
    const ready = await request(`${entry.baseUrl}/readyz`);
    assert.is(ready.statusCode, 503);
    const entries = await request(`${entry.baseUrl}/v1/entries`);
    assert.is(entries.statusCode, 200);
    await running.body.dump().catch(() => undefined);
  }));

test('a forced shutdown sends an error event on open streams', () =>
  // Guards against a stream that closes without an error after a second signal.
  withEntry(async ({entry, shutdown}) => {
    const receiving = receive(await askForStream(entry, makePrompt(20_000)));
    shutdown.requestStop('SIGTERM');
    shutdown.requestStop('SIGTERM');
    const received = await receiving;
    assert.is(received.errorKind, 'shutting-down');
    assert.ok(received.isCutOff);
    assert.is(await shutdown.exited, 3);
  }));

test('a starting node refuses requests as overloaded', () =>
  // Guards against `unauthorized` for valid tokens before the teams are loaded.
  withEntry(async ({entry}) => {
    entry.gate.applyPhase('starting');
    const refused = await askForStream(entry, makePrompt(5));
    const {error} = (await refused.body.json()) as RefusalBody;
    assert.equal([error.kind, error.run], ['overloaded', 'not-run']);
  }));

test.run();

function formatStreamRequest(prompt: object): string {
  const body = JSON.stringify({...prompt, stream: true});
  return [
    'POST /v1/chat/completions HTTP/1.1',
    ...['Host: h', 'Content-Type: application/json'],
    `Authorization: Bearer ${TOKENS.prairie}`,
    `Content-Length: ${body.length}\r\n`,
    body,
  ].join('\r\n');
}

interface RefusalBody {
  error: {kind: string; run: string; info: {entries: {nodeName: string}[]}};
}
