import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LiveNodes} from './live_nodes.js';
import {type RegisteredNode} from './registered_node.js';

const test = suite('live nodes');

const ANSWER = {isHeard: false, isServing: true};

function makeNode(nodeName: string, life = 1): RegisteredNode {
  return {
    ...{nodeName, incarnation: `${nodeName}.${life}`, cores: 1},
    ...{peerAddress: `${nodeName}:1`, failureDomain: 'a'},
    callerAddress: {ip: '127.0.0.1', port: 1},
  };
}

function startLiveNodes(names: readonly string[]) {
  const clock = new ManualClock();
  const state = {nodes: names.map(name => makeNode(name))};
  const live = new LiveNodes(clock, () => state.nodes);
  live.update();
  const listLive = () =>
    state.nodes
      .map(({nodeName}) => nodeName)
      .filter(nodeName => live.isLive(nodeName));
  /** All are asked; null for no answer. */
  const ask = (answers: Record<string, typeof ANSWER | null>) =>
    live.recordAnswers(
      state.nodes
        .filter(({nodeName}) => nodeName in answers)
        .map(node => ({node, reply: answers[node.nodeName] ?? null})),
    );
  return {clock, state, live, listLive, ask};
}

// Guards against a host that has just started and names all that are registered.
test('a node that is listed is not known to live', () => {
  const {clock, live, listLive} = startLiveNodes(['a', 'b']);
  assert.equal(listLive(), []);
  assert.is(live.lastSeenMs('a'), 0);
  live.recordReport(['a']);
  assert.equal(listLive(), ['a']);
  clock.advance(6_000);
  assert.equal(listLive(), []);
});

// Guards against an earlier process of a node whose signs of life count for the next one.
test('a new process of a node is not known to live', () => {
  const {clock, state, live, listLive} = startLiveNodes(['a', 'b']);
  live.recordReport(['a', 'b']);
  clock.advance(100);
  state.nodes = [makeNode('a', 2), makeNode('b')];
  live.update();
  assert.equal(listLive(), ['b']);
  assert.is(live.lastSeenMs('a'), 100);
});

// Guards against a lost node that is named although others have answered meanwhile.
test('a node that does not answer is not live if another one does', () => {
  const {clock, live, listLive, ask} = startLiveNodes(['a', 'b', 'c']);
  live.recordReport(['a', 'b', 'c']);
  clock.advance(1_000);
  ask({a: ANSWER, b: null});
  assert.equal(listLive(), ['a', 'c']);
  ask({a: null, b: ANSWER});
  assert.equal(listLive(), ['b', 'c']);
});

// Guards against a node that is cut off from the others and keeps all callers to itself.
test('that nobody answers tells nothing of the others', () => {
  const {clock, live, listLive, ask} = startLiveNodes(['a', 'b']);
  live.recordReport(['a', 'b']);
  ask({a: null, b: null});
  assert.equal(listLive(), ['a', 'b']);
  clock.advance(6_000);
  assert.equal(listLive(), []);
});

// Guards against callers who are sent to a node that stops.
test('a node that answers and does not serve is not named', () => {
  const {live, listLive, ask} = startLiveNodes(['a', 'b']);
  live.recordReport(['a', 'b']);
  ask({a: ANSWER, b: {...ANSWER, isServing: false}});
  assert.equal(listLive(), ['a']);
});

// Guards against memory that grows with each node that was ever registered.
test('nodes that are registered no more are forgotten', () => {
  const {clock, state, live} = startLiveNodes(['a', 'b']);
  clock.advance(1_000);
  live.recordReport(['a', 'b', 'unregistered']);
  assert.is(live.lastSeenMs('b'), 1_000);
  assert.is(live.findSign('b'), 'report');
  state.nodes = [makeNode('a')];
  live.update();
  assert.is(live.lastSeenMs('b'), -Infinity);
  assert.is(live.findSign('unregistered'), null);
});

test.run();
