import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type RegisteredNode} from './registered_node.js';
import {SilentNodes} from './silent_nodes.js';

const test = suite('silent nodes');

function makeNode(nodeName: string): RegisteredNode {
  return {
    ...{nodeName, incarnation: `${nodeName}.1`, peerAddress: `${nodeName}:1`},
    ...{callerAddress: {ip: '127.0.0.1', port: 1}, failureDomain: 'a'},
    cores: 1,
  };
}

const NODES = ['a', 'b'].map(makeNode);

/**
 * Updates every 250 ms while only the nodes in `heard` send heartbeats.
 *
 * @param lastSeenMs when the others were last known to live
 */
function runFor(
  forMs: number,
  heard: readonly string[],
  clock: ManualClock,
  lastSeenMs = clock.monotonicMs(),
) {
  const silent = new SilentNodes(clock);
  const update = () =>
    silent.update(NODES, {
      heardAtMs: name =>
        heard.includes(name) ? clock.monotonicMs() : -Infinity,
      lastSeenMs: name =>
        heard.includes(name) ? clock.monotonicMs() : lastSeenMs,
    });
  for (let passed = 0; passed < forMs; passed += 250) {
    update();
    clock.advance(250);
  }
  const {introduce, remove} = update();
  const nameOf = ({nodeName}: RegisteredNode) => nodeName;
  return {introduce: introduce.map(nameOf), remove: remove.map(nameOf)};
}

test('a node that misses heartbeats is introduced, and removed later', () => {
  const clock = new ManualClock();
  assert.equal(runFor(1_000, ['a'], clock), {introduce: ['b'], remove: []});
  assert.equal(runFor(6_500, ['a'], clock), {introduce: ['b'], remove: ['b']});
});

// Guards against a lost node that stays registered through a series of lost holders.
test('the time before the term of a new holder counts towards a removal', () => {
  const clock = new ManualClock();
  clock.advance(5_000);
  assert.equal(runFor(1_500, ['a'], clock, 1_000).remove, []);
  assert.equal(runFor(2_750, ['a'], clock, 1_000).remove, ['b']);
});

// Guards against nodes that a new holder removes before they can answer it.
test('a new holder removes nobody whom it has not introduced itself to', () => {
  const clock = new ManualClock();
  clock.advance(60_000);
  assert.equal(runFor(2_000, ['a'], clock, 1_000).remove, []);
});

// Guards against a new holder that has received no heartbeats yet and sends an
// introduction to every node, which would saturate its link.
test('a new holder introduces itself to nobody at first', () => {
  assert.equal(runFor(250, [], new ManualClock()), {introduce: [], remove: []});
});

test.run();
