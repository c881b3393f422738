import {ManualClock, sleep} from '@mimosatack/clock';
import {flushPendingCallbacks} from '@mimosatack/fakes';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  KeyedFollower,
  type KeyedFollowerOptions,
  type ReadRecovery,
} from './keyed_follower.js';
import {KeyedTable} from './keyed_table.js';
import {MemoryKeyedTopic} from './memory_keyed_topic.js';
import {StoreContact} from './store_contact.js';

const test = suite('keyed follower');

interface FollowerChange extends Partial<KeyedFollowerOptions> {
  topic?: MemoryKeyedTopic;
}

function startFollower(change: FollowerChange = {}) {
  const clock = new ManualClock();
  const {topic = new MemoryKeyedTopic()} = change;
  const table = new KeyedTable();
  const changesSeen: string[] = [];
  const connectionEvents: string[] = [];
  const follower = new KeyedFollower({
    ...{clock, topic, table, random: new SeededRandom(1)},
    waitMs: () => 20_000,
    minIntervalMs: 50,
    retryDelayMs: 200,
    onChanges: changes =>
      changes.forEach(({key, value}) =>
        changesSeen.push(
          `${key}=${value === null ? '-' : Buffer.from(value).toString()}`,
        ),
      ),
    onLost: () => connectionEvents.push('lost'),
    onRegained: () => connectionEvents.push('regained'),
    ...change,
  });
  /** Advances the clock in small steps, so that pending reads settle. */
  const pass = async (ms: number) => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      clock.advance(50);
      await flushPendingCallbacks();
    }
  };
  return {clock, topic, table, follower, changesSeen, connectionEvents, pass};
}

test('reads the existing records, then each change', async () => {
  const {topic, follower, changesSeen, pass} = startFollower();
  topic.put('config', '1');
  follower.start();
  await pass(100);
  topic.put('config', '2');
  await pass(100);
  topic.put('config', null);
  await pass(100);
  assert.equal(changesSeen, ['config=1', 'config=2', 'config=-']);
  follower.stop();
});

test('an outage is reported once, and so is the recovery', async () => {
  const {topic, follower, changesSeen, connectionEvents, pass} = startFollower({
    waitMs: () => 0,
  });
  topic.put('a', '1');
  follower.start();
  await pass(100);
  topic.isDown = true;
  await pass(2_000);
  assert.equal(connectionEvents, ['regained', 'lost']);
  topic.isDown = false;
  topic.put('a', '2');
  await pass(1_000);
  assert.equal(connectionEvents, ['regained', 'lost', 'regained']);
  assert.equal(changesSeen, ['a=1', 'a=2']);
  follower.stop();
});

// Guards against an outage whose log does not tell why a node was the last to read again.
test('a recovery says how long the reads had failed and what was waited for', async () => {
  const recoveries: ReadRecovery[] = [];
  const {topic, follower, pass} = startFollower({
    ...{waitMs: () => 0, maxRetryDelayMs: () => 2_000},
    onRegained: recovery => recoveries.push(recovery),
  });
  follower.start();
  await pass(100);
  topic.isDown = true;
  await pass(500);
  topic.isDown = false;
  await pass(2_000);
  const [first, second] = recoveries;
  assert.equal([first?.lostForMs, first?.failedReads], [null, 0]);
  assert.ok(second);
  assert.is(second.failedReads, 2);
  assert.is(second.delayEnd, 'timer');
  assert.ok(second.delayMs >= 400 && second.delayMs <= 600);
  assert.ok(second.lostForMs !== null && second.lostForMs > second.delayMs);
  follower.stop();
});

// Guards against keys that stay after their deletion records have expired in
// the store.
test('a snapshot is read when the offset has expired', async () => {
  const {topic, follower, changesSeen, pass} = startFollower({waitMs: () => 0});
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
  assert.equal(changesSeen, ['a=1', 'b=1', 'c=1', 'a=-']);
  follower.stop();
});

// Guards against a dead connection that delays a change until the waiting read
// times out.
test('refresh aborts a waiting read and reads at once', async () => {
  const {topic, follower, changesSeen, pass} = startFollower();
  follower.start();
  await pass(100);
  // Bypasses `put`, so that the waiting read is not notified.
  topic.records.push({key: 'a', value: Buffer.from('1'), offset: 0});
  await pass(1_000);
  assert.equal(changesSeen, []);
  follower.refresh();
  await pass(100);
  assert.equal(changesSeen, ['a=1']);
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

// Guards against an outage in which the retries of all nodes multiply the billed
// calls to the store.
test('the retry delay grows during an outage, and recovery stays fast', async () => {
  const {topic, follower, changesSeen, pass} = startFollower({
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
  assert.equal(changesSeen, ['a=1', 'a=2']);
  follower.stop();
});

test('a node that has never read recovers within a second', async () => {
  const {topic, follower, changesSeen, pass} = startFollower({
    waitMs: () => 0,
    maxRetryDelayMs: () => 2_000,
  });
  topic.put('a', '1');
  topic.isDown = true;
  follower.start();
  await pass(10_000);
  topic.isDown = false;
  await pass(800);
  assert.equal(changesSeen, ['a=1']);
  follower.stop();
});

test('the retry delay is constant when its limit is the initial delay', async () => {
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

// Guards against a large read that `refresh` restarts until it never completes.
test('a read that does not wait goes on when others are asked for', async () => {
  const {clock, topic, follower, changesSeen, pass} = startFollower({
    waitMs: () => 0,
  });
  topic.put('config', '1');
  follower.start();
  await pass(100);
  const readFrom = topic.readFrom.bind(topic);
  topic.readFrom = async (offset, waitMs, {signal} = {}) => {
    await sleep(clock, 600, signal);
    if (signal?.aborted) throw new Error('The read was aborted.');
    return readFrom(offset, waitMs);
  };
  topic.put('config', '2');
  for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 250) {
    follower.refresh();
    await pass(250);
  }
  assert.equal(changesSeen, ['config=1', 'config=2']);
  follower.stop();
});

// Guards against `refresh` calls that bypass the retry delay during an outage.
test('refresh adds no reads during an outage', async () => {
  const countReads = async (callsRefresh: boolean) => {
    const {topic, follower, pass} = startFollower({
      ...{waitMs: () => 0, maxRetryDelayMs: () => 2_000},
    });
    topic.put('config', '1');
    follower.start();
    await pass(100);
    topic.isDown = true;
    const before = topic.readCount;
    for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 250) {
      if (callsRefresh) follower.refresh();
      await pass(250);
    }
    follower.stop();
    return topic.readCount - before;
  };
  assert.is(await countReads(true), await countReads(false));
});

// Guards against a topic that waits out its delay while the store answers for another one.
test('once the store answers for one topic, all are read', async () => {
  const contact = new StoreContact();
  const slow = startFollower({
    ...{topic: new MemoryKeyedTopic(contact), waitMs: () => 0},
    maxRetryDelayMs: () => 2_000,
  });
  slow.topic.put('a', '1');
  slow.follower.start();
  await slow.pass(100);
  slow.topic.isDown = true;
  await slow.pass(10_000);
  slow.topic.isDown = false;
  slow.topic.put('a', '2');
  await new MemoryKeyedTopic(contact).readSnapshot();
  await slow.pass(50);
  assert.equal(slow.changesSeen, ['a=1', 'a=2']);
  slow.follower.stop();
});

// Guards against a read that an outage has swallowed and that the next one waits for.
test('a read without a response is sent again once the store answers', async () => {
  const contact = new StoreContact();
  const topic = new MemoryKeyedTopic(contact);
  const {clock, follower, changesSeen, pass} = startFollower({
    ...{topic, waitMs: () => 0},
  });
  topic.put('a', '1');
  follower.start();
  await pass(100);
  const readFrom = topic.readFrom.bind(topic);
  topic.readFrom = async () => {
    await sleep(clock, 1_500);
    throw new Error('No response.');
  };
  [1, 2].forEach(() => contact.recordFailure());
  await pass(200);
  topic.readFrom = readFrom;
  topic.put('a', '2');
  contact.recordAnswer();
  await pass(100);
  assert.equal(changesSeen, ['a=1', 'a=2']);
  follower.stop();
});

// Guards against a failing topic that each answer for another one makes read again.
test('a topic that fails alone keeps its delays', async () => {
  const contact = new StoreContact();
  const {topic, follower, pass} = startFollower({
    ...{topic: new MemoryKeyedTopic(contact), waitMs: () => 0},
    maxRetryDelayMs: () => 2_000,
  });
  const other = new MemoryKeyedTopic(contact);
  follower.start();
  await pass(100);
  topic.isDown = true;
  const before = topic.readCount;
  for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 100) {
    await other.readSnapshot();
    await pass(100);
  }
  const calls = topic.readCount - before;
  assert.ok(calls <= 9, `${calls} calls`);
  follower.stop();
});

// Guards against going on from an offset that the store gives out again.
test('a topic that came back from a copy is read anew', async () => {
  const kinds: string[] = [];
  const {topic, table, follower, pass} = startFollower({
    onChanges: (changes, kind) => kinds.push(`${kind} ${changes.length}`),
  });
  ['1', '2', '3'].forEach(text => topic.put('config', text));
  topic.put('lost', '1');
  follower.start();
  await pass(100);
  topic.restore(1);
  ['a', 'b', 'c', 'd', 'e'].forEach(key => topic.put(key, 'x'));
  await pass(300);
  topic.put('config', '4');
  await pass(100);
  assert.equal(kinds, ['snapshot 2', 'restored 7', 'increment 1']);
  assert.is(table.get('lost'), undefined);
  assert.is(table.endOffset, topic.endOffset);
  assert.is(String(table.get('config')?.value), '4');
  follower.stop();
});

// Guards against waiting out a delay, or a read that nothing completes.
test('a topic that came back is read at once, also if it is not needed', async () => {
  const {topic, table, follower, pass} = startFollower({
    isNeeded: () => false,
  });
  topic.put('config', '1');
  follower.start();
  await pass(100);
  topic.restore(0);
  topic.put('config', '2');
  await pass(50);
  assert.is(String(table.get('config')?.value), '2');
  follower.stop();
});

test.run();
