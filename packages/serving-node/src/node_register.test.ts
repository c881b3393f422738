import {ManualClock} from '@mimosatack/clock';
import {MemoryKeyedTopic} from '@mimosatack/keyed-store';
import {type RegisteredNode, encodeNode} from '@mimosatack/node-links';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {NodeRegister} from './node_register.js';

const register = suite('node register');

const SETTLE_MS = 4_000;
const STEP_MS = 50;

function makeNode(nodeName: string): RegisteredNode {
  return {
    ...{
      nodeName,
      incarnation: `${nodeName}-life`,
      failureDomain: 'a',
      cores: 1,
    },
    peerAddress: `${nodeName}:1`,
    callerAddress: {ip: '127.0.0.1', port: 1},
  };
}

function makeRegister(
  clock: ManualClock,
  topic: MemoryKeyedTopic,
  options: {
    nodeName: string;
    isReader?: boolean;
    isUpdatedByPeer: () => boolean;
  },
) {
  const {nodeName, isReader = false, isUpdatedByPeer} = options;
  const broadcastOffsets: number[] = [];
  const leftOut: string[] = [];
  const nodeRegister = new NodeRegister({
    ...{clock, topic, random: new SeededRandom(1), self: makeNode(nodeName)},
    ...{isReader: () => isReader, isUpdatedByPeer},
    onRead: fromOffset => broadcastOffsets.push(fromOffset),
    recordReaders: new Map(),
    ...{onRemoved: () => undefined, onLost: () => undefined},
    onLeftOut: key => leftOut.push(key),
    onRegained: () => undefined,
  });
  return {register: nodeRegister, broadcastOffsets, leftOut};
}

async function startFollower(isUpdatedByPeer: boolean) {
  const clock = new ManualClock();
  const topic = new MemoryKeyedTopic();
  const {register: follower, leftOut} = makeRegister(clock, topic, {
    ...{nodeName: 'n0', isUpdatedByPeer: () => isUpdatedByPeer},
  });
  follower.start();
  await advance(clock, SETTLE_MS);
  return {clock, topic, follower, leftOut};
}

async function registerNode(
  topic: MemoryKeyedTopic,
  nodeName: string,
): Promise<void> {
  const value = encodeNode(makeNode(nodeName));
  await topic.append([{key: nodeName, value}]);
}

/** Advances the clock in steps, so that pending reads can complete. */
async function advance(clock: ManualClock, durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    clock.advance(STEP_MS);
    await new Promise(resolve => setImmediate(resolve));
  }
}

// Guards against a read by every node whenever a node starts or stops.
register(
  'a node does not read the store while a peer passes records on',
  async () => {
    const clock = new ManualClock();
    const topic = new MemoryKeyedTopic();
    const {register: follower} = makeRegister(clock, topic, {
      ...{nodeName: 'n0', isUpdatedByPeer: () => true},
    });
    follower.start();
    await advance(clock, SETTLE_MS);
    const readsAtStart = topic.readCount;
    for (let index = 1; index <= 40; index += 1) {
      const node = makeNode(`n${index}`);
      await topic.append([{key: node.nodeName, value: encodeNode(node)}]);
      await advance(clock, STEP_MS);
    }
    assert.is(topic.readCount - readsAtStart, 0);
    follower.applyFromPeer(0, topic.records, topic.endOffset);
    assert.is(follower.list().length, 41);
    follower.stop();
  },
);

register('the reader passes records on in batches', async () => {
  const clock = new ManualClock();
  const topic = new MemoryKeyedTopic();
  const {register: reader, broadcastOffsets} = makeRegister(clock, topic, {
    ...{nodeName: 'n0', isReader: true, isUpdatedByPeer: () => false},
  });
  reader.start();
  await advance(clock, SETTLE_MS);
  const before = broadcastOffsets.length;
  for (let index = 1; index <= 20; index += 1) {
    await registerNode(topic, `n${index}`);
    await advance(clock, STEP_MS);
  }
  await advance(clock, SETTLE_MS);
  assert.is(reader.list().length, 21);
  const batches = broadcastOffsets.length - before;
  // One batch for each 100 ms of that second, and two at its start.
  assert.ok(batches >= 1 && batches <= 12, `${batches} batches`);
  reader.stop();
});

// Guards against a node that stays unknown while the reader lacks the store.
register(
  'an unknown node that others keep naming triggers a read',
  async () => {
    const {clock, topic, follower} = await startFollower(true);
    await registerNode(topic, 'n1');
    for (let heartbeat = 0; heartbeat < 16; heartbeat += 1) {
      follower.checkServingNames(['n0', 'n1']);
      await advance(clock, 250);
    }
    assert.equal(
      follower.list().map(({nodeName}) => nodeName),
      ['n0', 'n1'],
    );
    follower.stop();
  },
);

register('a node reads by itself when no peer passes records on', async () => {
  const {clock, topic, follower} = await startFollower(false);
  await registerNode(topic, 'n1');
  await advance(clock, SETTLE_MS);
  assert.is(follower.list().length, 2);
  follower.stop();
});

// Guards against older records of other nodes, and against nodes that the copy lacks.
register(
  'nodes are kept while a copy holds older records of them',
  async () => {
    const {clock, topic, follower} = await startFollower(false);
    const put = (name: string, incarnation: string) =>
      topic.put(name, String(encodeNode({...makeNode(name), incarnation})));
    const list = () =>
      follower
        .list()
        .map(({nodeName, incarnation}) => `${nodeName}/${incarnation}`);
    put('n1', 'first');
    put('n1', 'second');
    put('n2', 'first');
    await advance(clock, 200);
    const known = ['n0/n0-life', 'n1/second', 'n2/first'];
    assert.equal(list(), known);
    topic.restore(2);
    await advance(clock, 200);
    assert.equal(list(), known);
    put('n1', 'third');
    await advance(clock, 200);
    assert.equal(list(), ['n0/n0-life', 'n1/third', 'n2/first']);
    await advance(clock, 6_000);
    assert.equal(list(), ['n0/n0-life', 'n1/third']);
    follower.stop();
  },
);

// Guards against a node that stays unregistered since it believes that its record is there.
register(
  'nodes register again in a store that came back from a copy',
  async () => {
    const {clock, topic, follower} = await startFollower(true);
    await registerNode(topic, 'n1');
    topic.restore(0);
    await advance(clock, 200);
    const listKeys = async () => {
      const {records} = await topic.readSnapshot();
      return records.map(({key}) => key).sort();
    };
    assert.equal(await listKeys(), ['n0']);
    topic.restore(0);
    topic.put(
      'n0',
      String(encodeNode({...makeNode('n0'), incarnation: 'old'})),
    );
    await advance(clock, 200);
    const {records} = await topic.readSnapshot();
    assert.equal(
      records.map(({value}) => String(value)),
      [String(encodeNode(makeNode('n0')))],
    );
    follower.stop();
  },
);

// Guards against a host that the others forget, or list twice, because of another writer.
register(
  'an odd record replaces no node, and the node writes its own again',
  async () => {
    const {clock, topic, follower, leftOut} = await startFollower(false);
    await registerNode(topic, 'n1');
    await advance(clock, SETTLE_MS);
    const odd = Buffer.from('{"nodeName":"n1","peerAddress":"h:99999"}');
    const other = encodeNode(makeNode('n2'));
    await topic.append([
      ...['n0', 'n1', '__proto__', 'x\u0000'].map(key => ({key, value: odd})),
      {key: 'not-n2', value: other},
    ]);
    await registerNode(topic, 'n3');
    await advance(clock, SETTLE_MS);
    const names = follower.list().map(({nodeName}) => nodeName);
    assert.equal(names.sort(), ['n0', 'n1', 'n3']);
    assert.equal(leftOut, ['n0', 'n1', '__proto__', 'x\u0000', 'not-n2']);
    const {records} = await topic.readSnapshot();
    const own = records.find(({key}) => key === 'n0')?.value ?? null;
    assert.equal(
      own && Buffer.from(own),
      Buffer.from(encodeNode(makeNode('n0'))),
    );
  },
);

// Guards against a lost node that stays listed, as its removal changes no record here.
register(
  'an introduced node is forgotten once the register is read without it',
  async () => {
    const clock = new ManualClock();
    const topic = new MemoryKeyedTopic();
    await registerNode(topic, 'lost');
    await topic.append([{key: 'lost', value: null}]);
    await registerNode(topic, 'n1');
    topic.isDown = true;
    const {register: added} = makeRegister(clock, topic, {
      ...{nodeName: 'n0', isUpdatedByPeer: () => false},
    });
    const listNames = () => added.list().map(({nodeName}) => nodeName);
    added.start();
    await advance(clock, 1_000);
    added.addUnknown([makeNode('n1'), makeNode('lost')]);
    assert.equal(listNames(), ['n0', 'n1', 'lost']);
    topic.isDown = false;
    await advance(clock, SETTLE_MS);
    assert.equal(listNames(), ['n0', 'n1']);
    added.addUnknown([makeNode('lost')]);
    assert.equal(listNames(), ['n0', 'n1']);
    added.stop();
  },
);

// Guards against the same where a peer passes on the records.
register('an introduced node is forgotten once a peer names all', async () => {
  const clock = new ManualClock();
  const topic = new MemoryKeyedTopic();
  topic.isDown = true;
  const {register: added} = makeRegister(clock, topic, {
    ...{nodeName: 'n0', isUpdatedByPeer: () => true},
  });
  added.addUnknown([makeNode('n1'), makeNode('lost')]);
  const value = encodeNode(makeNode('n1'));
  added.applyFromPeer(0, [{key: 'n1', value, offset: 2}], 3);
  assert.equal(
    added.list().map(({nodeName}) => nodeName),
    ['n0', 'n1'],
  );
});

// Guards against a node that stays unknown to the others after an outage.
register('a node registers at once when the store is back', async () => {
  const clock = new ManualClock();
  const topic = new MemoryKeyedTopic();
  topic.isDown = true;
  const {register: added} = makeRegister(clock, topic, {
    ...{nodeName: 'n0', isUpdatedByPeer: () => false},
  });
  added.start();
  await advance(clock, 5_000);
  topic.isDown = false;
  topic.contact.recordAnswer();
  await advance(clock, STEP_MS);
  assert.equal(
    topic.records.map(({key}) => key),
    ['n0'],
  );
  added.stop();
});

register.run();
