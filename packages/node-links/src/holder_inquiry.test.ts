import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {chooseNodesToAsk} from './holder_inquiry.js';
import {type RegisteredNode} from './registered_node.js';

const test = suite('nodes asked about a silent holder');

const DOMAINS = ['a', 'b', 'c', 'd', 'e', 'f'];

function makeNode(nodeName: string, failureDomain = 'a'): RegisteredNode {
  return {
    ...{nodeName, incarnation: 'life', failureDomain, cores: 1},
    peerAddress: `${nodeName}:1`,
    callerAddress: {ip: '127.0.0.1', port: 1},
  };
}

function makeNodes(perDomain: number): RegisteredNode[] {
  return DOMAINS.flatMap(domain =>
    Array.from({length: perDomain}, (_, index) =>
      makeNode(`front-${domain}-${index}`, domain),
    ),
  );
}

function makeHolder({nodeName}: RegisteredNode) {
  return {nodeName, incarnation: 'life', address: `${nodeName}:1`, token: 1};
}

// Guards against a connection storm when the holder is lost: each node asked
// every other node, which delayed answers and exhausted memory.
test('the number of nodes asked is bounded in a large cluster', () => {
  const nodes = makeNodes(33);
  const [lost] = nodes;
  assert.ok(lost);
  if (!lost) return;
  const asked = new Map<string, number>();
  nodes.slice(1).forEach(self =>
    chooseNodesToAsk(self, makeHolder(lost), nodes).forEach(({nodeName}) => {
      assert.is.not(nodeName, self.nodeName);
      assert.is.not(nodeName, lost.nodeName);
      asked.set(nodeName, (asked.get(nodeName) ?? 0) + 1);
    }),
  );
  const total = [...asked.values()].reduce((sum, count) => sum + count, 0);
  assert.is(total, 8 * (nodes.length - 1));
  assert.ok(Math.max(...asked.values()) <= 16, 'one node is asked too often');
});

// Guards against nodes of a partitioned failure domain that ask only each other
// and take the duty from a live holder.
test('the nodes asked cover all failure domains', () => {
  const nodes = makeNodes(33);
  nodes.slice(1).forEach(self => {
    const [lost] = nodes;
    if (!lost) return;
    const domains = new Set(
      chooseNodesToAsk(self, makeHolder(lost), nodes).map(
        ({failureDomain}) => failureDomain,
      ),
    );
    assert.is(domains.size, DOMAINS.length, self.nodeName);
  });
});

test('all others are asked once in a small cluster', () => {
  const nodes = ['n1', 'n2', 'n3', 'n4'].map(name => makeNode(name));
  const [lost, self] = nodes;
  assert.ok(lost && self);
  if (!lost || !self) return;
  const names = chooseNodesToAsk(self, makeHolder(lost), nodes).map(
    ({nodeName}) => nodeName,
  );
  assert.equal(names.sort(), ['n3', 'n4']);
  assert.equal(chooseNodesToAsk(self, makeHolder(lost), [lost, self]), []);
});

test.run();
