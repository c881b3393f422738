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

/** Updates every 250 ms while only the nodes in `heard` send heartbeats. */
function runFor(forMs: number, heard: readonly string[], clock: ManualClock) {
  const silent = new SilentNodes(clock);
  const update = () =>
    silent.update(NODES, name =>
      heard.includes(name) ? clock.monotonicMs() : -Infinity,
    );
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

// Guards against a new holder that has received no heartbeats yet and sends an
// introduction to every node, which would saturate its link.
test('a new holder introduces itself to nobody at first', () => {
  assert.equal(runFor(250, [], new ManualClock()), {introduce: [], remove: []});
});

test.run();
