import {ManualClock} from '@mimosatack/clock';
import {flushPendingCallbacks} from '@mimosatack/fakes';
import {
  MemoryKeyedTopic,
  type ReadOutcome,
  type ReadTerms,
} from '@mimosatack/keyed-store';
import {SeededRandom} from '@mimosatack/random';
import {type ServingConfiguration} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ConfigurationFollower} from './configuration_follower.js';

const test = suite('configuration follower');

const KEY = 'config';
const REVOKE_MS = 5_000;

function decode(value: Uint8Array): ServingConfiguration {
  const version = Number(Buffer.from(value).toString());
  const limits = {
    ...{maxHeaderBytes: 1, maxBodyBytes: 1},
    ...{headerTimeoutMs: 1, idleTimeoutMs: 1},
  };
  return {version, routes: [], services: [], teams: null, limits};
}

/** Returns an empty read after `waitMs`, as the platform's store does. */
class TimedTopic extends MemoryKeyedTopic {
  constructor(private readonly clock: ManualClock) {
    super();
  }

  override async readFrom(
    offset: number,
    waitMs: number,
    {signal}: ReadTerms = {},
  ): Promise<ReadOutcome> {
    const ending = new AbortController();
    signal?.addEventListener('abort', () => ending.abort());
    const timer = this.clock.setTimer(waitMs, () => ending.abort());
    const outcome = super.readFrom(offset, waitMs, {
      signal: ending.signal,
    });
    return outcome.catch(thrown => {
      timer.cancel();
      if (signal?.aborted || this.isDown) throw thrown;
      return {status: 'read', records: [], endOffset: this.endOffset};
    });
  }
}

/** A version that can be decoded, but not be applied. */
const FAILING_VERSION = 7;

function startFollower({isReader = false, rank = 0} = {}) {
  const state = {isReader};
  const applied: number[] = [];
  const leftOut: string[] = [];
  const clock = new ManualClock();
  const topic = new TimedTopic(clock);
  topic.put(KEY, '1');
  const follower = new ConfigurationFollower({
    ...{clock, random: new SeededRandom(1)},
    platform: {
      ...{configurationKey: KEY, configurationTopic: topic},
      decodeConfiguration: decode,
    },
    isReader: () => state.isReader,
    findRank: () => rank,
    revokeMs: () => REVOKE_MS,
    applyMs: () => 2_000,
    onConfiguration: ({version}) => {
      applied.push(version);
      if (version === FAILING_VERSION) throw new RangeError('Out of range.');
    },
    onLeftOut: key => leftOut.push(key),
    onLost: () => undefined,
    onRegained: () => undefined,
  });
  follower.start();
  const advance = async (ms: number) => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      clock.advance(50);
      await flushPendingCallbacks();
    }
  };
  return {clock, topic, follower, advance, applied, leftOut, state};
}

test('a read confirms the configuration as of the start of the read', async () => {
  const {follower, advance} = startFollower({isReader: true});
  assert.is(follower.ageMs, Infinity);
  await advance(5_000);
  assert.ok(follower.ageMs <= 2 * 600 + 100, `${follower.ageMs}`);
});

// Guards against a new reader that confirms nothing until its long wait has ended.
test('a node that becomes the reader ends the long wait of its read', async () => {
  const {follower, advance, state} = startFollower();
  await advance(500);
  state.isReader = true;
  await advance(4_500);
  assert.ok(follower.ageMs <= 2_000, `${follower.ageMs}`);
});

// Guards against a node that never reads when confirmations stop.
test('without confirmations a node reads by itself, delayed by its rank', async () => {
  const first = startFollower({rank: 0});
  await first.advance(10_000);
  assert.ok(first.follower.ageMs <= 1_900, `${first.follower.ageMs}`);
  const last = startFollower({rank: 500});
  await last.advance(2_400);
  assert.ok(last.follower.ageMs > 2_000);
  await last.advance(5_000);
  assert.ok(last.follower.ageMs <= 3_100, `${last.follower.ageMs}`);
});

// Guards against accepting a revoked key after a suspension of the host.
test('the age includes a suspension of the host', async () => {
  const {clock, follower, advance} = startFollower();
  await advance(100);
  clock.suspend(6_000);
  assert.ok(follower.ageMs >= 6_000);
});

test('the age grows while the store is unavailable', async () => {
  const {topic, follower, advance} = startFollower({isReader: true});
  await advance(1_000);
  topic.isDown = true;
  await advance(6_000);
  assert.ok(follower.ageMs >= 5_000, `${follower.ageMs}`);
  topic.isDown = false;
  await advance(1_500);
  assert.ok(follower.ageMs <= 1_900, `${follower.ageMs}`);
});

test('a peer confirms the version while the store rejects this node', async () => {
  const {topic, follower, advance} = startFollower();
  await advance(1_000);
  topic.isDown = true;
  await advance(6_000);
  follower.noteConfirmed(1, follower.nowMs - 30, 'peer');
  assert.is(follower.ageMs, 30);
  follower.noteConfirmed(2, follower.nowMs, 'peer');
  assert.is(follower.ageMs, 30);
});

// Guards against refusing keys when a confirmation precedes its version.
test('a confirmation applies to a version that arrives after it', async () => {
  const {topic, follower, advance} = startFollower();
  await advance(1_000);
  topic.isDown = true;
  await advance(6_000);
  follower.noteConfirmed(2, follower.nowMs - 30, 'peer');
  assert.ok(follower.ageMs > 5_000);
  const value = Buffer.from('2');
  follower.applyFromPeer([{key: KEY, value, offset: 5}]);
  assert.is(follower.version, 2);
  assert.is(follower.ageMs, 30);
});

// Guards against falling back to the older configuration of a copy of the store.
test('a copy of the store does not replace the configuration in force', async () => {
  const {topic, follower, advance} = startFollower({isReader: true});
  topic.put(KEY, '5');
  await advance(1_000);
  topic.restore(1);
  await advance(1_000);
  assert.is(follower.version, 5);
  assert.equal(
    follower.recordsInForce.map(({value}) => String(value)),
    ['5'],
  );
});

// Guards against missing what the operator writes next, whatever its version.
test('what is written after a copy came back is in force', async () => {
  const {topic, follower, advance} = startFollower({isReader: true});
  topic.put(KEY, '5');
  await advance(1_000);
  topic.restore(1);
  await advance(1_000);
  topic.put(KEY, '4');
  await advance(1_000);
  assert.is(follower.version, 4);
  // A peer that has not read it yet.
  follower.applyFromPeer([{key: KEY, value: Buffer.from('5'), offset: 1}]);
  assert.is(follower.version, 4);
  topic.put(KEY, '6');
  await advance(1_000);
  topic.put(KEY, '3');
  await advance(1_000);
  assert.is(follower.version, 6);
});

// Guards against a new node that stays at the version of the copy.
test('a peer passes on the version in force to a node that read a copy', async () => {
  const {follower, advance} = startFollower();
  await advance(100);
  follower.applyFromPeer([{key: KEY, value: Buffer.from('5'), offset: 0}]);
  assert.is(follower.version, 5);
});

// Guards against a configuration that is half applied, and that no later one replaces.
test('the last configuration stays in force if the next fails when applied', async () => {
  const {topic, follower, advance, applied, leftOut} = startFollower();
  await advance(1_000);
  topic.put(KEY, String(FAILING_VERSION));
  await advance(1_000);
  assert.is(follower.version, 1);
  assert.is(follower.recordsInForce[0]?.offset, 0);
  assert.equal(leftOut, [KEY]);
  topic.put(KEY, '2');
  await advance(1_000);
  assert.equal(applied, [1, FAILING_VERSION, 1, 2]);
});

// Guards against a node that waits out its delay while others have a newer version.
test('a version that another node names is read at once, and only once', async () => {
  const {topic, follower, advance, applied} = startFollower();
  await advance(1_000);
  topic.isDown = true;
  await advance(6_000);
  const before = topic.readCount;
  for (let elapsedMs = 0; elapsedMs < 6_000; elapsedMs += 250) {
    follower.noteConfirmed(2, follower.nowMs, 'peer');
    await advance(250);
  }
  const calls = topic.readCount - before;
  assert.ok(calls <= 1 + Math.ceil(6_000 / 700), `${calls} calls`);
  topic.isDown = false;
  topic.put(KEY, '3');
  follower.noteConfirmed(3, follower.nowMs, 'peer');
  await advance(50);
  assert.equal(applied, [1, 3]);
});

test.run();
