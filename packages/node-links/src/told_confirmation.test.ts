import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TestNode} from './confirmation_fixture.js';

const test = suite('how old the knowledge of a configuration is');

function startNodes() {
  const holder = new TestNode();
  const node = new TestNode();
  holder.host.advance(700_000);
  const pass = (ms: number) =>
    [holder, node].forEach(({host}) => host.advance(ms));
  return {holder, node, pass};
}

test('a node is told how old the knowledge of the holder is', () => {
  const {holder, node, pass} = startNodes();
  holder.asOfMs = holder.nowMs;
  pass(400);
  const sentAtMs = node.nowMs;
  node.told.takeWelcome('h', holder.describe(), sentAtMs);
  assert.is(node.ageMs, 400);
  pass(100);
  assert.is(node.ageMs, 500);
});

// Guards against knowledge that grows young while its answer lies unread.
test('an answer that was read late confirms nothing later', () => {
  const {holder, node, pass} = startNodes();
  holder.asOfMs = holder.nowMs;
  const sentAtMs = node.nowMs;
  const welcome = holder.describe();
  pass(6_000);
  node.told.takeWelcome('h', welcome, sentAtMs);
  assert.is(node.ageMs, 6_000);
});

// Guards against a holder that wakes up and believes old heartbeats.
test('a heartbeat that was read late confirms nothing later', () => {
  const {holder, node, pass} = startNodes();
  node.told.takeWelcome('h', holder.describe(), node.nowMs);
  pass(100);
  node.asOfMs = node.nowMs;
  const hello = node.hello('h');
  pass(1_000);
  holder.host.suspend(5_000);
  holder.told.takeHello(hello);
  assert.is(holder.ageMs, 6_000);
});

test('the holder learns from a node that reads', () => {
  const {holder, node, pass} = startNodes();
  pass(9_000);
  node.told.takeWelcome('h', holder.describe(), node.nowMs);
  pass(50);
  node.asOfMs = node.nowMs - 20;
  holder.told.takeHello(node.hello('h'));
  assert.is(holder.ageMs, 20);
});

test('what was said of an older version confirms a newer one, not the reverse', () => {
  const {holder, node} = startNodes();
  holder.asOfMs = holder.nowMs;
  holder.version = 4;
  node.told.takeWelcome('h', holder.describe(), node.nowMs);
  assert.is(node.ageMs, Infinity);
  node.version = 5;
  node.told.takeWelcome('h', holder.describe(), node.nowMs);
  assert.is(node.ageMs, 0);
});

test('another holder has another clock', () => {
  const {holder, node} = startNodes();
  node.told.takeWelcome('h', holder.describe(), node.nowMs);
  node.asOfMs = node.nowMs;
  assert.is(node.told.findBeatMs('other'), null);
});

test.run();
