import {ManualClock} from '@mimosatack/clock';
import {settle} from '@mimosatack/fakes';
import {MemoryKeyedTopic, type ReadOutcome} from '@mimosatack/keyed-store';
import {SeededRandom} from '@mimosatack/random';
import {type ServingConfiguration} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ConfigurationFollower} from './configuration_follower.js';

const test = suite('how new the configuration is known to be');

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

/** A read that waits is answered in the end, as the platform's store does. */
class TimedTopic extends MemoryKeyedTopic {
  constructor(private readonly clock: ManualClock) {
    super();
  }

  override async readFrom(
    offset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<ReadOutcome> {
    const ending = new AbortController();
    signal?.addEventListener('abort', () => ending.abort());
    const timer = this.clock.setTimer(waitMs, () => ending.abort());
    const outcome = super.readFrom(offset, waitMs, ending.signal);
    return outcome.catch(thrown => {
      timer.cancel();
      if (signal?.aborted || this.isDown) throw thrown;
      return {status: 'read', records: [], endOffset: this.endOffset};
    });
  }
}

function startFollower({isReader = false, rank = 0} = {}) {
  const clock = new ManualClock();
  const topic = new TimedTopic(clock);
  topic.put(KEY, '1');
  const follower = new ConfigurationFollower({
    ...{clock, random: new SeededRandom(1)},
    platform: {
      ...{configurationKey: KEY, configurationTopic: topic},
      decodeConfiguration: decode,
    },
    isReader: () => isReader,
    findRank: () => rank,
    revokeMs: () => REVOKE_MS,
    onConfiguration: () => undefined,
    onFault: () => undefined,
    onLost: () => undefined,
    onRegained: () => undefined,
  });
  follower.start();
  const pass = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      clock.advance(50);
      await settle();
    }
  };
  return {clock, topic, follower, pass};
}

test('a read confirms what stood before it was begun', async () => {
  const {follower, pass} = startFollower({isReader: true});
  assert.is(follower.ageMs, Infinity);
  await pass(5_000);
  assert.ok(follower.ageMs <= 2 * 900 + 100, `${follower.ageMs}`);
});

// Guards against a node that believes for ever what nobody confirms.
test('a node that nobody tells reads by itself, by its rank', async () => {
  const first = startFollower({rank: 0});
  await first.pass(10_000);
  assert.ok(first.follower.ageMs <= 1_900, `${first.follower.ageMs}`);
  const last = startFollower({rank: 500});
  await last.pass(2_400);
  assert.ok(last.follower.ageMs > 2_000);
  await last.pass(5_000);
  assert.ok(last.follower.ageMs <= 3_100, `${last.follower.ageMs}`);
});

// Guards against keys that serve on at a host that was suspended.
test('a suspension makes the knowledge older', async () => {
  const {clock, follower, pass} = startFollower();
  await pass(100);
  clock.suspend(6_000);
  assert.ok(follower.ageMs >= 6_000);
});

test('while the store is away the knowledge grows old', async () => {
  const {topic, follower, pass} = startFollower({isReader: true});
  await pass(1_000);
  topic.isDown = true;
  await pass(6_000);
  assert.ok(follower.ageMs >= 5_000, `${follower.ageMs}`);
  topic.isDown = false;
  await pass(1_500);
  assert.ok(follower.ageMs <= 1_900, `${follower.ageMs}`);
});

test('others confirm it while this node is turned away', async () => {
  const {topic, follower, pass} = startFollower();
  await pass(1_000);
  topic.isDown = true;
  await pass(6_000);
  follower.noteConfirmed(1, follower.nowMs - 30);
  assert.is(follower.ageMs, 30);
  follower.noteConfirmed(2, follower.nowMs);
  assert.is(follower.ageMs, 30);
});

// Guards against keys that are refused since what was told came before its version.
test('a version that comes after its confirmation is confirmed by it', async () => {
  const {topic, follower, pass} = startFollower();
  await pass(1_000);
  topic.isDown = true;
  await pass(6_000);
  follower.noteConfirmed(2, follower.nowMs - 30);
  assert.ok(follower.ageMs > 5_000);
  const value = Buffer.from('2');
  follower.takeFromPeer([{key: KEY, value, offset: 5}]);
  assert.is(follower.version, 2);
  assert.is(follower.ageMs, 30);
});

test.run();
