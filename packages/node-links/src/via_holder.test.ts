import {ManualClock} from '@mimosatack/clock';
import {type DutyHolder} from '@mimosatack/hold-duty';
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
  const own = {serversEndOffset: 1};
  const roster = new NodeRoster(clock);
  const lastWelcome = new LastWelcome();
  let holder = holderName ? makeHolder(holderName) : null;
  const view = new ViaHolder({
    ...{clock, contacts, roster, lastWelcome, self: makeNode(selfName)},
    holder: () => holder,
    listNodes: () => NAMES.map(makeNode),
    readStatus: () => ({
      ...{
        isServing: true,
        reachesServers: true,
        uptimeMs: 0,
        configurationVersion: 1,
      },
      ...{...own, nodesEndOffset: 1},
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
  const welcome = (
    isNodeListConfirmed: boolean,
    {serversAgeMs = 100, serversEndOffset = 1, takesMs = 0} = {},
  ) => {
    if (!holder) return;
    const sentAtMs = clock.monotonicMs();
    clock.advance(takesMs);
    contacts.noteHeard(holder);
    const fields = {
      ...{incarnation: holder.incarnation, nodesEndOffset: 1},
      ...{isNodeListConfirmed, serversAgeMs, serversEndOffset},
    };
    lastWelcome.record(fields as Welcome, sentAtMs);
  };
  const follow = (nodeName: string) => (holder = makeHolder(nodeName));
  return {clock, contacts, view, own, hear, welcome, follow};
}

function makeHolder(nodeName: string): DutyHolder {
  return {
    ...{nodeName, incarnation: `${nodeName}.1`},
    ...{address: `${nodeName}:1`, token: 1},
  };
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

// Guards against a reply that lay in the socket while the process stood still, and whose
// list then counts as new.
test('the age of the list counts from the start of the heartbeat', () => {
  const {clock, view, welcome} = makeView('b', 'a');
  welcome(true, {takesMs: 4_000});
  assert.is(view.serversAgeMs, 4_100);
  clock.advance(200);
  assert.is(view.serversAgeMs, 4_300);
});

// Guards against a list that counts as new since there is a holder who has not answered.
test('a holder that has not answered makes the list no newer', () => {
  const {clock, contacts, view, welcome, follow} = makeView('b', 'a');
  welcome(true);
  clock.advance(4_000);
  follow('c');
  contacts.find(makeHolder('c'));
  assert.is(view.serversAgeMs, 4_100);
});

// Guards against a node that has lost records of its holder and counts its own list as new.
test('a node that lacks records of the holder does not hold its list', () => {
  const {view, own, welcome} = makeView('b', 'a');
  welcome(true, {serversEndOffset: 2});
  assert.is(view.serversAgeMs, 100);
  assert.is(view.heldServersAgeMs, Infinity);
  own.serversEndOffset = 2;
  assert.is(view.heldServersAgeMs, 100);
});

test('without a holder a node does not know the nodes', () => {
  assert.not(makeView('b', null).view.isNodeListConfirmed);
});

test.run();
