import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TestNode} from './confirmation_fixture.js';

const HOLDER = {incarnation: 'h', nodeName: 'holder'};

const test = suite('age of the configuration confirmation');

function startNodes() {
  const holder = new TestNode();
  const node = new TestNode();
  holder.host.advance(700_000);
  const advance = (ms: number) =>
    [holder, node].forEach(({host}) => host.advance(ms));
  return {holder, node, advance};
}

test("a node adopts the age of the holder's confirmation", () => {
  const {holder, node, advance} = startNodes();
  holder.asOfMs = holder.nowMs;
  advance(400);
  const sentAtMs = node.nowMs;
  node.confirmation.handleWelcome(HOLDER, holder.describe(), sentAtMs);
  assert.is(node.ageMs, 400);
  advance(100);
  assert.is(node.ageMs, 500);
});

// Guards against a reply that appears newer because it was read late.
test('a reply that was read late confirms nothing newer', () => {
  const {holder, node, advance} = startNodes();
  holder.asOfMs = holder.nowMs;
  const sentAtMs = node.nowMs;
  const welcome = holder.describe();
  advance(6_000);
  node.confirmation.handleWelcome(HOLDER, welcome, sentAtMs);
  assert.is(node.ageMs, 6_000);
});

// Guards against a holder that trusts old heartbeats after a suspension.
test('a heartbeat that was read late confirms nothing newer', () => {
  const {holder, node, advance} = startNodes();
  node.confirmation.handleWelcome(HOLDER, holder.describe(), node.nowMs);
  advance(100);
  node.asOfMs = node.nowMs;
  const hello = node.hello('h');
  advance(1_000);
  holder.host.suspend(5_000);
  holder.confirmation.handleHello(hello);
  assert.is(holder.ageMs, 6_000);
});

test('the holder adopts the confirmation of a node that reads the store', () => {
  const {holder, node, advance} = startNodes();
  advance(9_000);
  node.confirmation.handleWelcome(HOLDER, holder.describe(), node.nowMs);
  advance(50);
  node.asOfMs = node.nowMs - 20;
  holder.confirmation.handleHello(node.hello('h'));
  assert.is(holder.ageMs, 20);
});

test('a confirmation of a version also confirms newer ones, not older ones', () => {
  const {holder, node} = startNodes();
  holder.asOfMs = holder.nowMs;
  holder.version = 4;
  node.confirmation.handleWelcome(HOLDER, holder.describe(), node.nowMs);
  assert.is(node.ageMs, Infinity);
  node.version = 5;
  node.confirmation.handleWelcome(HOLDER, holder.describe(), node.nowMs);
  assert.is(node.ageMs, 0);
});

test("a clock sample of one holder is not used for another holder's clock", () => {
  const {holder, node} = startNodes();
  node.confirmation.handleWelcome(HOLDER, holder.describe(), node.nowMs);
  node.asOfMs = node.nowMs;
  assert.is(node.confirmation.findConfirmedBeatMs('other'), null);
});

test.run();
