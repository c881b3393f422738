import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TestNode} from './confirmation_fixture.js';
import {messageSchema} from './messages.js';

const HOLDER = {incarnation: 'h', nodeName: 'holder'};

const test = suite('age of the configuration confirmation');

function startNodes() {
  const holder = new TestNode('h');
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
  holder.receive(hello);
  assert.is(holder.ageMs, 6_000);
});

test('the holder adopts the confirmation of a node that reads the store', () => {
  const {holder, node, advance} = startNodes();
  advance(9_000);
  node.confirmation.handleWelcome(HOLDER, holder.describe(), node.nowMs);
  advance(50);
  node.asOfMs = node.nowMs - 20;
  holder.receive(node.hello('h'));
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
  assert.is(node.confirmation.findAsOfBeatMs('other'), null);
});

/** A node that was confirmed by a holder, which was then replaced at its address. */
function replaceHolder() {
  const {holder, node, advance} = startNodes();
  holder.asOfMs = holder.nowMs;
  node.confirmation.handleWelcome(HOLDER, holder.describe(), node.nowMs);
  advance(1_000);
  const successor = new TestNode('h.2');
  const advanceBoth = (ms: number) =>
    [successor, node].forEach(({host}) => host.advance(ms));
  return {node, successor, advance: advanceBoth};
}

// Guards against a restarted holder that takes a time on the clock of the process before
// it for its own, so that each heartbeat confirms an outdated configuration anew.
test('a heartbeat for the process before confirms nothing to its successor', () => {
  const {node, successor, advance} = replaceHolder();
  advance(7_000);
  successor.receive(node.hello('h'));
  assert.is(successor.ageMs, Infinity);
});

// Guards against the same during a rolling update: that release names no process.
test('a heartbeat of the previous release confirms nothing', () => {
  const {node, successor} = replaceHolder();
  const {status} = node.hello('h');
  const previous = {...status, confirmedBeatMs: status.configurationAsOfBeatMs};
  const parsed = messageSchema.parse({type: 'hello', status: previous});
  assert.ok(parsed.type === 'hello');
  if (parsed.type === 'hello') successor.receive(parsed);
  assert.is(successor.ageMs, Infinity);
});

// Guards against a holder of the previous release, which takes the time in a heartbeat for
// its own without asking for whom it is.
test('a process of the previous release finds no time to confirm by', () => {
  const {node} = replaceHolder();
  assert.not('confirmedBeatMs' in node.hello('h').status);
});

test.run();
