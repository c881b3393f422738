import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {HolderContacts} from './holder_contacts.js';
import {LastWelcome} from './last_welcome.js';
import {type Welcome} from './messages.js';
import {NodeRoster} from './node_roster.js';
import {type RegisteredNode} from './registered_node.js';
import {ViaHolder} from './via_holder.js';

const test = suite('what a node knows through the holder');

const NAMES = ['a', 'b', 'c', 'd'];

function makeNode(nodeName: string): RegisteredNode {
  return {
    ...{nodeName, incarnation: `${nodeName}.1`, peerAddress: `${nodeName}:1`},
    ...{callerAddress: {ip: '127.0.0.1', port: 1}, failureDomain: 'hall-a'},
    cores: 1,
  };
}

/** The view of a node while another, or itself, holds the duty. */
function makeView(selfName: string, holderName: string | null) {
  const clock = new ManualClock(1_000);
  const contacts = new HolderContacts(clock);
  const roster = new NodeRoster(clock);
  const lastWelcome = new LastWelcome();
  const holder = holderName && {
    ...{nodeName: holderName, incarnation: `${holderName}.1`},
    ...{address: `${holderName}:1`, token: 1},
  };
  const view = new ViaHolder({
    ...{contacts, roster, lastWelcome, self: makeNode(selfName)},
    holder: () => holder || null,
    listNodes: () => NAMES.map(makeNode),
    readStatus: () => ({
      ...{
        isServing: true,
        reachesServers: true,
        uptimeMs: 0,
        configurationVersion: 1,
      },
      ...{serversEndOffset: 1, nodesEndOffset: 1},
    }),
  });
  const hear = (nodeName: string) =>
    roster.note(`${nodeName}:1`, {
      ...{
        nodeName,
        incarnation: `${nodeName}.1`,
        isServing: true,
        reachesServers: true,
      },
      ...{uptimeMs: 0, promise: null},
    });
  const welcome = (isNodeListConfirmed: boolean) => {
    if (!holder) return;
    contacts.noteHeard(holder);
    lastWelcome.record({
      ...{incarnation: holder.incarnation, nodesEndOffset: 1},
      isNodeListConfirmed,
    } as Welcome);
  };
  return {clock, view, hear, welcome};
}

// Guards against a part of the nodes that is cut off and takes itself for all.
test('a holder knows the nodes while it reaches most of them', () => {
  const {clock, view, hear} = makeView('a', 'a');
  hear('b');
  assert.not(view.isNodeListConfirmed);
  hear('c');
  assert.ok(view.isNodeListConfirmed);
  clock.advance(1_000);
  assert.not(view.isNodeListConfirmed);
});

// Guards against a node that follows a holder which is itself cut off.
test('a node knows the nodes while a holder that does answers', () => {
  const {clock, view, welcome} = makeView('b', 'a');
  assert.not(view.isNodeListConfirmed);
  welcome(false);
  assert.not(view.isNodeListConfirmed);
  welcome(true);
  assert.ok(view.isNodeListConfirmed);
  clock.advance(1_000);
  assert.not(view.isNodeListConfirmed);
});

test('without a holder a node does not know the nodes', () => {
  assert.not(makeView('b', null).view.isNodeListConfirmed);
});

test.run();
