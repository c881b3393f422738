import {ManualClock} from '@mimosatack/clock';
import {flushPendingCallbacks} from '@mimosatack/fakes';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {HolderContacts} from './holder_contacts.js';
import {LiveNodes} from './live_nodes.js';
import {type NodeMessage} from './messages.js';
import {PeerInquiry} from './peer_inquiry.js';
import {type RegisteredNode} from './registered_node.js';

const test = suite('inquiry about silent nodes');

const HOLDER = {nodeName: 'h', incarnation: 'h.1', address: 'h:1', token: 7};

function makeNode(nodeName: string): RegisteredNode {
  return {
    ...{nodeName, incarnation: `${nodeName}.1`, cores: 1},
    ...{peerAddress: `${nodeName}:1`, failureDomain: 'a'},
    callerAddress: {ip: '127.0.0.1', port: 1},
  };
}

function startInquiry(reply: (address: string) => NodeMessage | null) {
  const clock = new ManualClock();
  const nodes = ['a', 'b', 'c', 'h'].map(makeNode);
  const [self = makeNode('a')] = nodes;
  const asked: string[] = [];
  const liveNodes = new LiveNodes(clock, () => nodes);
  const contacts = new HolderContacts(clock);
  contacts.noteHeard(HOLDER);
  const inquiry = new PeerInquiry({
    ...{clock, self, liveNodes, contacts},
    ...{listNodes: () => nodes, findRank: () => 3},
    request: async address => {
      asked.push(address);
      const message = reply(address);
      if (!message) throw new Error('No answer.');
      return message;
    },
  });
  inquiry.recordReport();
  liveNodes.recordReport(nodes.map(({nodeName}) => nodeName));
  const ask = async () => {
    await inquiry.askIfDue(HOLDER);
    await flushPendingCallbacks();
  };
  const listLive = () =>
    ['b', 'c', 'h'].filter(nodeName => liveNodes.isLive(nodeName));
  return {clock, contacts, inquiry, asked, ask, listLive};
}

function makeHeard(nodeName: string): NodeMessage {
  return {type: 'heard', isHeard: false, isServing: true, nodeName};
}

// Guards against questions to all nodes while reports come.
test('while reports come nobody is asked', async () => {
  const {clock, contacts, inquiry, asked, ask} = startInquiry(() => null);
  for (let round = 0; round < 10; round += 1) {
    clock.advance(250);
    contacts.noteHeard(HOLDER);
    inquiry.recordReport();
    await ask();
  }
  assert.equal(asked, []);
});

// Guards against lost nodes that are taken for live until the next holder is recorded.
test('without a report the silent ones, and the holder, are not live', async () => {
  const {clock, asked, ask, listLive} = startInquiry(address =>
    address === 'b:1' ? makeHeard('b') : null,
  );
  clock.advance(1_500);
  await ask();
  assert.equal(asked, ['b:1', 'c:1']);
  assert.equal(listLive(), ['b']);
});

// Guards against another node that answers at the address of a lost one.
test('an answer of another node than the one asked counts as none', async () => {
  const {clock, ask, listLive} = startInquiry(address =>
    makeHeard(address === 'b:1' ? 'b' : 'new'),
  );
  clock.advance(1_500);
  await ask();
  assert.equal(listLive(), ['b']);
});

test.run();
