import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {chooseWitnesses} from './holder_inquiry.js';
import {type KnownNode} from './known_node.js';

const test = suite('who is asked about a silent holder');

const DOMAINS = ['a', 'b', 'c', 'd', 'e', 'f'];

function makeNode(nodeName: string, failureDomain = 'a'): KnownNode {
  return {
    ...{nodeName, incarnation: 'life', failureDomain, cores: 1},
    peerAddress: `${nodeName}:1`,
    callerAddress: {ip: '127.0.0.1', port: 1},
  };
}

function makeFleet(perDomain: number): KnownNode[] {
  return DOMAINS.flatMap(domain =>
    Array.from({length: perDomain}, (_, index) =>
      makeNode(`front-${domain}-${index}`, domain),
    ),
  );
}

function makeHolder({nodeName}: KnownNode) {
  return {nodeName, incarnation: 'life', address: `${nodeName}:1`, token: 1};
}

/*
 * Story: a host is lost, and for seconds all other nodes answer late or run out of
 * memory. Its node scheduled for 195 others, each of which opened a connection to
 * each of the rest to ask whether they still heard it.
 */
test('a few nodes are asked, whatever the size of the fleet', () => {
  const fleet = makeFleet(33);
  const [lost] = fleet;
  assert.ok(lost);
  if (!lost) return;
  const asked = new Map<string, number>();
  fleet.slice(1).forEach(self =>
    chooseWitnesses(self, makeHolder(lost), fleet).forEach(({nodeName}) => {
      assert.is.not(nodeName, self.nodeName);
      assert.is.not(nodeName, lost.nodeName);
      asked.set(nodeName, (asked.get(nodeName) ?? 0) + 1);
    }),
  );
  const total = [...asked.values()].reduce((sum, count) => sum + count, 0);
  assert.is(total, 8 * (fleet.length - 1));
  assert.ok(Math.max(...asked.values()) <= 16, 'one node is asked by many');
});

/*
 * Story: a failure domain is cut off from the rest, and its nodes take the duty
 * from a holder that lives, since they asked only each other.
 */
test('those that are asked stand in all failure domains', () => {
  const fleet = makeFleet(33);
  fleet.slice(1).forEach(self => {
    const [lost] = fleet;
    if (!lost) return;
    const domains = new Set(
      chooseWitnesses(self, makeHolder(lost), fleet).map(
        ({failureDomain}) => failureDomain,
      ),
    );
    assert.is(domains.size, DOMAINS.length, self.nodeName);
  });
});

test('in a small fleet all others are asked, each once', () => {
  const fleet = ['n1', 'n2', 'n3', 'n4'].map(name => makeNode(name));
  const [lost, self] = fleet;
  assert.ok(lost && self);
  if (!lost || !self) return;
  const names = chooseWitnesses(self, makeHolder(lost), fleet).map(
    ({nodeName}) => nodeName,
  );
  assert.equal(names.sort(), ['n3', 'n4']);
  assert.equal(chooseWitnesses(self, makeHolder(lost), [lost, self]), []);
});

test.run();
