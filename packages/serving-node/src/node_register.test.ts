import {ManualClock} from '@mimosatack/clock';
import {MemoryKeyedTopic} from '@mimosatack/keyed-store';
import {type KnownNode, encodeNode} from '@mimosatack/node-links';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {NodeRegister} from './node_register.js';

const register = suite('register of nodes');

const SETTLE_MS = 4_000;
const STEP_MS = 50;

function makeNode(nodeName: string): KnownNode {
  return {
    ...{
      nodeName,
      incarnation: `${nodeName}-life`,
      failureDomain: 'a',
      cores: 1,
    },
    peerAddress: `127.0.0.1:${nodeName}`,
    callerAddress: {ip: '127.0.0.1', port: 1},
  };
}

function makeRegister(
  clock: ManualClock,
  topic: MemoryKeyedTopic,
  options: {nodeName: string; isReader?: boolean; isTold: () => boolean},
) {
  const {nodeName, isReader = false, isTold} = options;
  const passedOn: number[] = [];
  const made = new NodeRegister({
    ...{clock, topic, random: new SeededRandom(1), self: makeNode(nodeName)},
    ...{isReader: () => isReader, isTold},
    onRead: fromOffset => passedOn.push(fromOffset),
    onContained: () => undefined,
    ...{onStruck: () => undefined, onLost: () => undefined},
    onRegained: () => undefined,
  });
  return {register: made, passedOn};
}

/** A node that has started, and its store. */
async function startFollower(isTold: boolean) {
  const clock = new ManualClock();
  const topic = new MemoryKeyedTopic();
  const {register: follower} = makeRegister(clock, topic, {
    ...{nodeName: 'n0', isTold: () => isTold},
  });
  follower.start();
  await pass(clock, SETTLE_MS);
  return {clock, topic, follower};
}

async function enter(topic: MemoryKeyedTopic, nodeName: string): Promise<void> {
  const value = encodeNode(makeNode(nodeName));
  await topic.append([{key: nodeName, value}]);
}

/** Lets reads that wait go on, as they do between timers. */
async function pass(clock: ManualClock, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
    clock.advance(STEP_MS);
    await new Promise(resolve => setImmediate(resolve));
  }
}

/*
 * Story: the operators of a large fleet pay more for calls to the store than for
 * anything else, and each rolling restart makes it worse. Every start and stop
 * of one node woke a waiting read of each of the others.
 */
register(
  'a node that is told of the others does not read of them',
  async () => {
    const clock = new ManualClock();
    const topic = new MemoryKeyedTopic();
    const {register: follower} = makeRegister(clock, topic, {
      ...{nodeName: 'n0', isTold: () => true},
    });
    follower.start();
    await pass(clock, SETTLE_MS);
    const atStart = topic.readCount;
    for (let index = 1; index <= 40; index += 1) {
      const node = makeNode(`n${index}`);
      await topic.append([{key: node.nodeName, value: encodeNode(node)}]);
      await pass(clock, STEP_MS);
    }
    assert.is(topic.readCount - atStart, 0);
    follower.takeFromPeer(0, topic.records, topic.endOffset);
    assert.is(follower.list().length, 41);
    follower.stop();
  },
);

register('the reader passes on what it reads, in batches', async () => {
  const clock = new ManualClock();
  const topic = new MemoryKeyedTopic();
  const {register: reader, passedOn} = makeRegister(clock, topic, {
    ...{nodeName: 'n0', isReader: true, isTold: () => false},
  });
  reader.start();
  await pass(clock, SETTLE_MS);
  const before = passedOn.length;
  for (let index = 1; index <= 20; index += 1) {
    await enter(topic, `n${index}`);
    await pass(clock, STEP_MS);
  }
  await pass(clock, SETTLE_MS);
  assert.is(reader.list().length, 21);
  const batches = passedOn.length - before;
  // One each 100 ms of that second, and two at once at its start.
  assert.ok(batches >= 1 && batches <= 12, `${batches} batches`);
  reader.stop();
});

/*
 * Story: a node is up and no caller is ever sent there by some of the others.
 * The node that reads for them is cut off from the store, and so is not told of
 * it, though it hears its heartbeats.
 */
register('a node that others name for long is read of', async () => {
  const {clock, topic, follower} = await startFollower(true);
  await enter(topic, 'n1');
  for (let heartbeat = 0; heartbeat < 16; heartbeat += 1) {
    follower.noteNames(['n0', 'n1']);
    await pass(clock, 250);
  }
  assert.equal(
    follower.list().map(({nodeName}) => nodeName),
    ['n0', 'n1'],
  );
  follower.stop();
});

register('a node that nobody tells reads by itself', async () => {
  const {clock, topic, follower} = await startFollower(false);
  await enter(topic, 'n1');
  await pass(clock, SETTLE_MS);
  assert.is(follower.list().length, 2);
  follower.stop();
});

register.run();
