import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LimitExchange} from './limit_exchange.js';
import {ServerLimits} from './server_limits.js';

const test = suite('exchange of limits between nodes');

const SERVER = {id: 'i-1', startedAtMs: null};

function makeNode(clock: ManualClock, incarnation: string) {
  const limits = new ServerLimits({
    clock,
    onChange: () => undefined,
    onInvalid: () => undefined,
  });
  return {
    incarnation,
    limits,
    exchange: new LimitExchange(limits, incarnation),
  };
}

type Node = ReturnType<typeof makeNode>;

/** A heartbeat; returns whether lists went either way. */
function sendHeartbeat(node: Node, holder: Node) {
  const report = node.exchange.makeReport(holder.incarnation);
  const reply = holder.exchange.answerReport(report);
  node.exchange.applyReply(holder.incarnation, reply);
  return {hasReport: report.entries !== null, hasReply: reply.entries !== null};
}

// Guards against a node that does not know a limit which another was told.
test('all nodes learn what one was told', () => {
  const clock = new ManualClock();
  const [holder, first, second] = ['a', 'b', 'c'].map(name =>
    makeNode(clock, name),
  );
  assert.ok(holder && first && second);
  if (!holder || !first || !second) return;
  first.limits.recordResponse(SERVER, 1.5);
  sendHeartbeat(first, holder);
  sendHeartbeat(second, holder);
  assert.is(holder.limits.find(SERVER), 1.5);
  assert.is(second.limits.find(SERVER), 1.5);
});

// Guards against a limit that is lost with the holder or at a restart.
test('a new holder and a restarted node are told all limits', () => {
  const clock = new ManualClock();
  const node = makeNode(clock, 'b');
  node.limits.recordResponse(SERVER, 3);
  sendHeartbeat(node, makeNode(clock, 'a'));
  const nextHolder = makeNode(clock, 'a2');
  sendHeartbeat(node, nextHolder);
  assert.is(nextHolder.limits.find(SERVER), 3);
  const restarted = makeNode(clock, 'c2');
  sendHeartbeat(restarted, nextHolder);
  assert.is(restarted.limits.find(SERVER), 3);
});

test('a limit that one node found lifted is lifted for all', () => {
  const clock = new ManualClock();
  const holder = makeNode(clock, 'a');
  const node = makeNode(clock, 'b');
  node.limits.recordResponse(SERVER, 3);
  sendHeartbeat(node, holder);
  clock.advance(2_000);
  holder.limits.recordResponse(SERVER, null);
  sendHeartbeat(node, holder);
  assert.is(node.limits.find(SERVER), null);
});

// Guards against a returning node that tells a new holder of a limit lifted long ago.
test('a limit that was lifted meanwhile does not come back', () => {
  const clock = new ManualClock();
  const holder = makeNode(clock, 'a');
  const cutOff = makeNode(clock, 'b');
  const other = makeNode(clock, 'c');
  holder.limits.recordResponse(SERVER, 3);
  [cutOff, other].forEach(node => sendHeartbeat(node, holder));
  clock.advance(2_000);
  holder.limits.recordResponse(SERVER, null);
  sendHeartbeat(other, holder);
  clock.advance(60_000);
  const nextHolder = makeNode(clock, 'd');
  [cutOff, other].forEach(node => sendHeartbeat(node, nextHolder));
  assert.is(nextHolder.limits.find(SERVER), null);
  sendHeartbeat(cutOff, nextHolder);
  assert.is(cutOff.limits.find(SERVER), null);
});

// Guards against an old report that undoes a later change.
test('the later change wins', () => {
  const clock = new ManualClock();
  const holder = makeNode(clock, 'a');
  const node = makeNode(clock, 'b');
  node.limits.recordResponse(SERVER, 3);
  const report = node.exchange.makeReport('a');
  clock.advance(300);
  holder.limits.recordResponse(SERVER, 7);
  holder.exchange.answerReport({
    ...report,
    entries: report.entries?.map(entry => ({...entry, ageMs: 300})) ?? null,
  });
  assert.is(holder.limits.find(SERVER), 7);
});

// Guards against heartbeats that carry lists which the other end has.
test('lists are sent only while they are new', () => {
  const clock = new ManualClock();
  const holder = makeNode(clock, 'a');
  const node = makeNode(clock, 'b');
  node.limits.recordResponse(SERVER, 3);
  sendHeartbeat(node, holder);
  sendHeartbeat(node, holder);
  assert.equal(sendHeartbeat(node, holder), {
    hasReport: false,
    hasReply: false,
  });
});

test.run();
