import {SystemClock, sleep} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {SeededRandom} from '@mimosatack/random';
import {hashKey} from '@mimosatack/unrepeatable';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type ClaimOptions,
  type ClaimGrant,
  ClaimKeys,
  type ClaimRequest,
} from './index.js';
import {encodeClaimBatch} from './claim_records.js';
import {MemoryLog} from './memory_log.js';

const MINUTE_MS = 60_000;
const ANSWER = {
  statusCode: 200,
  contentType: 'text/plain',
  body: Buffer.from('sent'),
};

function createFixture(options: Partial<ClaimOptions> = {}) {
  const clock = new SystemClock();
  const log = new MemoryLog(clock);
  const crashed = new Set<string>();
  const nodes: ClaimKeys[] = [];
  const start = (incarnation: string) => {
    const node = new ClaimKeys({
      clock,
      random: new SeededRandom(1),
      log,
      incarnation,
      isAlive: other => !crashed.has(other),
      options: {
        partitionCount: 1,
        appendGapMs: 1,
        retryDelayMs: 1,
        longPollMs: 50,
        ...options,
      },
    });
    nodes.push(node);
    return node;
  };
  const stop = () => Promise.all(nodes.map(node => node.stop(0)));
  return {clock, log, dead: crashed, start, stop};
}

function createRequest(key = 'k1'): ClaimRequest {
  return {
    keyHash: hashKey('pantry', key),
    requestHash: 'same',
    issuedAtMs: Date.now(),
  };
}

/** Resolves with the status, or with `kind` and `run` of the error. */
async function claim(
  node: ClaimKeys,
  request: ClaimRequest,
  timeoutMs = 2_000,
): Promise<string> {
  const expiresAtMs = performance.now() + timeoutMs;
  return node.claim(request, expiresAtMs).then(
    result => result.status,
    (thrown: TypedError) => `${thrown.kind} ${thrown.run}`,
  );
}

async function grant(
  node: ClaimKeys,
  request: ClaimRequest,
): Promise<ClaimGrant> {
  const result = await node.claim(request, performance.now() + 2_000);
  if (result.status !== 'granted') throw new Error(result.status);
  return result.grant;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await sleep(new SystemClock(), 1);
}

const test = suite('claim keys');

// Guards against running a request more than once when its caller sends it to
// several nodes at the same time.
test('grants concurrent claims of a key to one node', async () => {
  const {start, stop} = createFixture();
  const nodes = [start('a'), start('b'), start('c')];
  const request = createRequest();
  const results = await Promise.all(
    nodes.map(async node => {
      const result = await node.claim(request, performance.now() + 2_000);
      if (result.status === 'granted') node.recordRan(result.grant, ANSWER);
      return result.status;
    }),
  );
  assert.equal(results.sort(), ['granted', 'ran', 'ran']);
  await stop();
});

// Guards against a lost or double grant when the log's response to an append
// is lost.
test('grants a claim to its author when the append response is lost', async () => {
  const {log, start, stop} = createFixture();
  log.responsesToDrop = 1;
  const request = createRequest();
  const node = start('a');
  const firstGrant = await grant(node, request);
  const other = start('b');
  node.recordRan(firstGrant, ANSWER);
  assert.is(await claim(other, request), 'ran');
  await stop();
});

// Guards against running a request again after its node crashed between claim
// and outcome; the crashed node may have dispatched the request.
test('returns orphaned when the claimant crashed without an outcome', async () => {
  const {dead, start, stop} = createFixture();
  const request = createRequest();
  await grant(start('a'), request);
  const other = start('b');
  const waiting = claim(other, request);
  dead.add('a');
  assert.is(await waiting, 'orphaned');
  assert.is(other.counters.orphaned, 1);
  assert.is(await claim(start('a-again'), request), 'orphaned');
  await stop();
});

test('lets any node claim a released key', async () => {
  const {start, stop} = createFixture();
  const request = createRequest();
  const [a, b] = [start('a'), start('b')];
  b.tick(() => true);
  a.release(await grant(a, request));
  await waitUntil(() => b.listStatus()[0]?.nextOffset === 2);
  assert.is(await claim(b, request), 'granted');
  assert.is(await claim(a, {...request, requestHash: 'x'}), 'key-reused');
  await stop();
});

// Guards against running a request on a second node after the first node
// answered `not-run` and released the key.
test('does not claim a key that was released during the wait', async () => {
  const {start, stop} = createFixture();
  const request = createRequest();
  const [a, b] = [start('a'), start('b')];
  const held = await grant(a, request);
  const waiting = claim(b, request);
  await waitUntil(() => b.listStatus()[0]?.isReady === true);
  a.release(held);
  assert.is(await waiting, 'released');
  assert.is(await claim(b, request), 'granted');
  await stop();
});

// Guards against a `not-run` error for a key that another node may have run,
// and against a wait for the caller's deadline while the log is down.
test('answers at once with known outcomes only while the log is down', async () => {
  const {clock, log, start, stop} = createFixture({claimTimeoutMs: MINUTE_MS});
  const node = start('a');
  const [known, fresh] = [createRequest('k1'), createRequest('k2')];
  node.recordRan(await grant(node, known), ANSWER);
  await waitUntil(() => node.listStatus()[0]?.nextOffset === 2);
  log.setDown(true);
  await waitUntil(() => node.listStatus()[0]?.isFailing === true);
  assert.is(await claim(node, known), 'ran');
  const refused = claim(node, fresh, MINUTE_MS);
  const timedOut = sleep(clock, MINUTE_MS / 20).then(() => 'timed out');
  assert.is(await Promise.race([refused, timedOut]), 'log-unavailable unknown');
  log.setDown(false);
  await waitUntil(() => node.listStatus()[0]?.isFailing === false);
  assert.is(await claim(node, fresh), 'granted');
  await stop();
});

// Guards against a key blocked permanently by a claim that is granted after
// its node stopped waiting for the append.
test('releases an abandoned claim that is granted later', async () => {
  const {log, start, stop} = createFixture();
  const node = start('a');
  const request = createRequest();
  await claim(node, createRequest('warm-up'));
  let open: () => void = () => undefined;
  log.appendGate = new Promise(resolve => (open = resolve));
  assert.is(await claim(node, request, 30), 'log-unavailable unknown');
  log.appendGate = null;
  open();
  assert.is(await claim(node, request), 'granted');
  await stop();
});

test('batches many claims into one append', async () => {
  const {log, start, stop} = createFixture({appendGapMs: 20});
  const node = start('a');
  const results = await Promise.all(
    Array.from({length: 200}, (_, index) =>
      claim(node, createRequest(`${index}`)),
    ),
  );
  assert.ok(results.every(result => result === 'granted'));
  assert.ok(log.appendCount < 20, `${log.appendCount} appends`);
  await stop();
});

// Guards against a second grant of a key whose claim was trimmed before the
// node read it.
test('returns unknown for a key whose claim may be trimmed', async () => {
  const {log, start, stop} = createFixture();
  const request = createRequest();
  await grant(start('a'), request);
  await log.append('claims-0', createHeartbeat('a', Date.now()));
  log.trim('claims-0', 1);
  assert.is(await claim(start('b'), request), 'unknown');
  await stop();
});

// Guards against a slow start caused by reading the whole stream instead of
// the retention window and its margin.
test('reads only the recent part of a long stream at start', async () => {
  const {log, start, stop} = createFixture();
  const nowMs = Date.now();
  const ages = Array.from({length: 3_000}, (_, index) => 3_000 - index);
  await Promise.all(
    ages.map(ageMinutes =>
      log.append(
        'claims-0',
        createHeartbeat('a', nowMs - ageMinutes * MINUTE_MS),
      ),
    ),
  );
  const node = start('b');
  assert.is(await claim(node, createRequest()), 'granted');
  const old = {...createRequest(), issuedAtMs: nowMs - 2_000 * MINUTE_MS};
  assert.is(await claim(node, old), 'unknown');
  assert.ok(node.listStatus()[0]!.foldedAppends < 1_100);
  assert.ok(log.readCount < 15, `${log.readCount} reads`);
  await stop();
});

test('appends a heartbeat to an idle stream', async () => {
  const {log, start, stop} = createFixture({markIntervalMs: 1});
  const node = start('a');
  node.tick(() => true);
  await waitUntil(() => node.listStatus()[0]?.isReady === true);
  node.tick(() => true);
  await waitUntil(() => log.appendCount === 1);
  assert.is(await claim(start('b'), createRequest()), 'granted');
  await stop();
});

function createHeartbeat(author: string, writtenAtMs: number): Uint8Array {
  return encodeClaimBatch({author, writtenAtMs, records: []});
}

test.run();
