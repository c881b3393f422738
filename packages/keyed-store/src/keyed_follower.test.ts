import {ManualClock, sleep} from '@mimosatack/clock';
import {settle} from '@mimosatack/fakes';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {KeyedFollower, type KeyedFollowerOptions} from './keyed_follower.js';
import {KeyedTable} from './keyed_table.js';
import {MemoryKeyedTopic} from './memory_keyed_topic.js';

const test = suite('following a topic');

function startFollower(change: Partial<KeyedFollowerOptions> = {}) {
  const clock = new ManualClock();
  const topic = new MemoryKeyedTopic();
  const table = new KeyedTable();
  const seen: string[] = [];
  const dependency: string[] = [];
  const follower = new KeyedFollower({
    ...{clock, topic, table, random: new SeededRandom(1)},
    waitMs: () => 20_000,
    minIntervalMs: 50,
    retryDelayMs: 200,
    onChanges: changes =>
      changes.forEach(({key, value}) =>
        seen.push(
          `${key}=${value === null ? '-' : Buffer.from(value).toString()}`,
        ),
      ),
    onLost: () => dependency.push('lost'),
    onRegained: () => dependency.push('regained'),
    ...change,
  });
  /** Moves time on in small steps, as timers and answers take turns. */
  const pass = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      clock.advance(50);
      await settle();
    }
  };
  return {clock, topic, table, follower, seen, dependency, pass};
}

test('reads all that stands there, then each change', async () => {
  const {topic, follower, seen, pass} = startFollower();
  topic.put('config', '1');
  follower.start();
  await pass(100);
  topic.put('config', '2');
  await pass(100);
  topic.put('config', null);
  await pass(100);
  assert.equal(seen, ['config=1', 'config=2', 'config=-']);
  follower.stop();
});

test('a store that is down is told once, and found again', async () => {
  const {topic, follower, seen, dependency, pass} = startFollower({
    waitMs: () => 0,
  });
  topic.put('a', '1');
  follower.start();
  await pass(100);
  topic.isDown = true;
  await pass(2_000);
  assert.equal(dependency, ['regained', 'lost']);
  topic.isDown = false;
  topic.put('a', '2');
  await pass(1_000);
  assert.equal(dependency, ['regained', 'lost', 'regained']);
  assert.equal(seen, ['a=1', 'a=2']);
  follower.stop();
});

/*
 * The store forgets its history while this node was cut off. The offset it
 * reads from is gone, and a server that left meanwhile would stay in the list
 * for ever: the newest record of each key is read again instead.
 */
test('history that is gone is made up for by a snapshot', async () => {
  const {topic, follower, seen, pass} = startFollower({waitMs: () => 0});
  topic.put('a', '1');
  topic.put('b', '1');
  follower.start();
  await pass(100);
  topic.isDown = true;
  topic.put('a', null);
  topic.put('c', '1');
  topic.firstOffset = 4;
  topic.isDown = false;
  await pass(1_000);
  assert.equal(seen, ['a=1', 'b=1', 'c=1', 'a=-']);
  follower.stop();
});

/*
 * A connection falls silent for good while a read waits on it. The change that
 * was made meanwhile is not noticed until the read is given up; a peer that
 * knows of the change makes the node read at once.
 */
test('a read that waits in vain can be ended', async () => {
  const {topic, follower, seen, pass} = startFollower();
  follower.start();
  await pass(100);
  // The read under way hears nothing; the next one is answered.
  topic.records.push({key: 'a', value: Buffer.from('1'), offset: 0});
  await pass(1_000);
  assert.equal(seen, []);
  follower.refresh();
  await pass(100);
  assert.equal(seen, ['a=1']);
  follower.stop();
});

test('does not read while it is not needed', async () => {
  let isNeeded = false;
  const {topic, follower, pass} = startFollower({
    waitMs: () => 0,
    isNeeded: () => isNeeded,
  });
  follower.start();
  await pass(1_000);
  const before = topic.readCount;
  assert.is(before, 1);
  isNeeded = true;
  await pass(200);
  assert.ok(topic.readCount > before);
  follower.stop();
});

/*
 * Story: the store is away for ten seconds, and the operators pay more for the
 * calls of these than of the rest of the day. Each of hundreds of nodes went on
 * calling three times a second for each topic.
 */
test('a store that is away is called less and less, and found again soon', async () => {
  const {topic, follower, seen, pass} = startFollower({
    waitMs: () => 0,
    maxRetryDelayMs: () => 2_000,
  });
  topic.put('a', '1');
  follower.start();
  await pass(200);
  topic.isDown = true;
  const before = topic.readCount;
  await pass(10_000);
  const calls = topic.readCount - before;
  assert.ok(calls >= 4 && calls <= 9, `${calls} calls`);
  topic.isDown = false;
  topic.put('a', '2');
  await pass(3_100);
  assert.equal(seen, ['a=1', 'a=2']);
  follower.stop();
});

test('a node that has never read is back within the second', async () => {
  const {topic, follower, seen, pass} = startFollower({
    waitMs: () => 0,
    maxRetryDelayMs: () => 2_000,
  });
  topic.put('a', '1');
  topic.isDown = true;
  follower.start();
  await pass(10_000);
  topic.isDown = false;
  await pass(800);
  assert.equal(seen, ['a=1']);
  follower.stop();
});

test('whoever reads for others goes on calling as often', async () => {
  const {topic, follower, pass} = startFollower({
    waitMs: () => 0,
    maxRetryDelayMs: () => 200,
  });
  follower.start();
  await pass(200);
  topic.isDown = true;
  const before = topic.readCount;
  await pass(3_000);
  assert.ok(topic.readCount - before >= 8);
  follower.stop();
});

// Guards against a read of a large record that is begun anew until it never ends.
test('a read that does not wait goes on when others are asked for', async () => {
  const {clock, topic, follower, seen, pass} = startFollower({
    waitMs: () => 0,
  });
  topic.put('config', '1');
  follower.start();
  await pass(100);
  const readFrom = topic.readFrom.bind(topic);
  topic.readFrom = async (offset, waitMs, signal) => {
    await sleep(clock, 600, signal);
    if (signal?.aborted) throw new Error('The read was ended.');
    return readFrom(offset, waitMs);
  };
  topic.put('config', '2');
  for (let passed = 0; passed < 2_000; passed += 250) {
    follower.refresh();
    await pass(250);
  }
  assert.equal(seen, ['config=1', 'config=2']);
  follower.stop();
});

// Guards against an outage that costs twice the calls, since others were asked for.
test('what is asked for during an outage adds no calls', async () => {
  const play = async (refreshes: boolean) => {
    const {topic, follower, pass} = startFollower({
      ...{waitMs: () => 0, maxRetryDelayMs: () => 2_000},
    });
    topic.put('config', '1');
    follower.start();
    await pass(100);
    topic.isDown = true;
    const before = topic.readCount;
    for (let passed = 0; passed < 10_000; passed += 250) {
      if (refreshes) follower.refresh();
      await pass(250);
    }
    follower.stop();
    return topic.readCount - before;
  };
  assert.is(await play(true), await play(false));
});

test.run();
