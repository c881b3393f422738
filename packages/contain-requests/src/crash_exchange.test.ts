/** Guards against facts that do not reach all nodes. */
import {ManualClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CrashExchange} from './crash_exchange.js';
import {RequestContainment} from './request_containment.js';

const test = suite('crash exchange');

const clock = new ManualClock();

function makeNode(incarnation: string, isTrier = false) {
  const logger = new MemoryEventLogger();
  const containment = new RequestContainment({
    ...{clock, logger, isProbingNode: () => isTrier},
  });
  const exchange = new CrashExchange({clock, containment});
  return {incarnation, containment, exchange, logger};
}

type TestNode = ReturnType<typeof makeNode>;

/** Returns the numbers of facts in the report and in the reply. */
function exchangeHeartbeat(node: TestNode, holder: TestNode): [number, number] {
  const report = node.exchange.makeReport(holder.incarnation);
  const reply = holder.exchange.handleReport(report);
  if (reply) node.exchange.handleReply(holder.incarnation, report, reply);
  return [report?.facts.length ?? 0, reply?.facts.length ?? 0];
}

/* Guards against counting crashes at each node alone. */
test('three crashes at three nodes contain a request at all nodes', () => {
  const [holder, second, third] = ['n1', 'n2', 'n3'].map(name =>
    makeNode(name),
  );
  if (!holder || !second || !third) throw new Error('expected three nodes');
  holder.containment.recordConnectionLoss({fingerprint: 'bad', parts: []}, 'a');
  second.containment.recordConnectionLoss({fingerprint: 'bad', parts: []}, 'b');
  third.containment.recordConnectionLoss({fingerprint: 'bad', parts: []}, 'c');
  exchangeHeartbeat(second, holder);
  exchangeHeartbeat(third, holder);
  assert.ok(holder.containment.isContained('bad'));
  assert.ok(third.containment.isContained('bad'));
  exchangeHeartbeat(second, holder);
  assert.ok(second.containment.isContained('bad'));
  assert.is(second.logger.fieldsOf('request-contained').length, 1);
});

test('no fact is sent twice, and no message without facts', () => {
  const [holder, second] = ['n1', 'n2'].map(name => makeNode(name));
  if (!holder || !second) throw new Error('expected two nodes');
  assert.is(second.exchange.makeReport(holder.incarnation), null);
  assert.is(holder.exchange.handleReport(null), null);
  second.containment.recordConnectionLoss({fingerprint: 'bad', parts: []}, 'a');
  assert.is(exchangeHeartbeat(second, holder)[0], 1);
  holder.containment.recordConnectionLoss({fingerprint: 'bad', parts: []}, 'b');
  exchangeHeartbeat(second, holder);
  assert.equal(exchangeHeartbeat(second, holder), [0, 0]);
});

test('facts of a lost reply are sent again', () => {
  const [holder, second] = ['n1', 'n2'].map(name => makeNode(name));
  if (!holder || !second) throw new Error('expected two nodes');
  holder.containment.recordConnectionLoss({fingerprint: 'bad', parts: []}, 'a');
  second.containment.recordConnectionLoss({fingerprint: 'bad', parts: []}, 'b');
  holder.exchange.handleReport(second.exchange.makeReport(holder.incarnation));
  exchangeHeartbeat(second, holder);
  assert.is(second.containment.evidence.cutsBySuspect.get('bad')?.size, 2);
  assert.is(holder.containment.evidence.cutsBySuspect.get('bad')?.size, 2);
});

/* Guards against losing the facts of a holder that crashes. */
test('a new holder receives all facts and updates a restarted node', () => {
  const [first, second, third] = ['n1', 'n2', 'n3'].map(name => makeNode(name));
  if (!first || !second || !third) throw new Error('expected three nodes');
  ['a', 'b', 'c'].forEach(serverLife =>
    second.containment.recordConnectionLoss(
      {fingerprint: 'bad', parts: []},
      serverLife,
    ),
  );
  exchangeHeartbeat(second, first);
  exchangeHeartbeat(second, third);
  assert.ok(third.containment.isContained('bad'));
  const restarted = makeNode('n1-again');
  exchangeHeartbeat(restarted, third);
  assert.ok(restarted.containment.isContained('bad'));
});

/* Guards against taking a restarted holder's reply for an acknowledgement. */
test('a restarted holder at the same address receives all facts', () => {
  const [first, second] = ['n1', 'n2'].map(name => makeNode(name));
  if (!first || !second) throw new Error('expected two nodes');
  second.containment.recordConnectionLoss({fingerprint: 'bad', parts: []}, 'a');
  exchangeHeartbeat(second, first);
  const restarted = makeNode('n1-again');
  const report = second.exchange.makeReport(first.incarnation);
  const reply = restarted.exchange.handleReport(report);
  if (reply) {
    second.exchange.handleReply(restarted.incarnation, report, reply);
  }
  assert.ok(restarted.containment.evidence.isEmpty);
  exchangeHeartbeat(second, restarted);
  assert.not(restarted.containment.evidence.isEmpty);
});

test('facts beyond the message limit follow with the next heartbeat', () => {
  const [holder, second] = ['n1', 'n2'].map(name => makeNode(name));
  if (!holder || !second) throw new Error('expected two nodes');
  Array.from({length: 450}, (_, at) =>
    second.containment.recordConnectionLoss(
      {fingerprint: `f-${at}`, parts: []},
      'a',
    ),
  );
  const sent = [0, 0, 0, 0].map(() => exchangeHeartbeat(second, holder)[0]);
  assert.equal(sent, [200, 200, 50, 0]);
  assert.is(holder.containment.evidence.cutsBySuspect.size, 450);
});

test('a success releases the request at all nodes', () => {
  const [holder, second] = ['n1', 'n2'].map(name => makeNode(name));
  if (!holder || !second) throw new Error('expected two nodes');
  ['a', 'b', 'c'].forEach(serverLife =>
    second.containment.recordConnectionLoss(
      {fingerprint: 'slow', parts: []},
      serverLife,
    ),
  );
  exchangeHeartbeat(second, holder);
  assert.ok(second.containment.isContained('slow'));
  clock.advance(1);
  holder.containment.recordSuccess(['slow']);
  exchangeHeartbeat(second, holder);
  assert.not(second.containment.isContained('slow'));
  assert.is(second.logger.fieldsOf('request-released').length, 1);
  assert.equal(exchangeHeartbeat(second, holder), [0, 0]);
});

/* Guards against containing a harmless request forever. */
test('one node probes a contained request, once at a time', () => {
  const [holder, second] = [makeNode('n1', true), makeNode('n2')];
  ['a', 'b', 'c'].forEach(serverLife =>
    holder.containment.recordConnectionLoss(
      {fingerprint: 'common', parts: []},
      serverLife,
    ),
  );
  exchangeHeartbeat(second, holder);
  assert.not(holder.containment.openProbe(['common']));
  clock.advance(30_000);
  assert.not(second.containment.openProbe(['common']));
  assert.ok(holder.containment.openProbe(['common']));
  assert.not(holder.containment.openProbe(['common']));
  holder.containment.recordSuccess(['common']);
  holder.containment.endProbe(['common']);
  exchangeHeartbeat(second, holder);
  assert.not(second.containment.isContained('common'));
});

// Guards against a server that is born again under its id while its entry is out of date,
// so that each of its crashes counts as the first.
test('later crashes of a server under the same id count', () => {
  const {containment} = makeNode('n1');
  const crash = () =>
    containment.recordConnectionLoss({fingerprint: 'bad', parts: []}, 'a');
  crash();
  clock.advance(500);
  crash();
  clock.advance(3_000);
  crash();
  assert.not(containment.isContained('bad'));
  clock.advance(3_000);
  crash();
  assert.ok(containment.isContained('bad'));
});

test('each probe that crashes a server delays the next one', () => {
  const {containment} = makeNode('n1', true);
  ['a', 'b', 'c'].forEach(serverLife =>
    containment.recordConnectionLoss(
      {fingerprint: 'bad', parts: []},
      serverLife,
    ),
  );
  const delaysS = ['d', 'e', 'f'].map(serverLife => {
    const startedAtMs = clock.monotonicMs();
    while (!containment.openProbe(['bad'])) clock.advance(1_000);
    containment.recordConnectionLoss(
      {fingerprint: 'bad', parts: []},
      serverLife,
    );
    containment.endProbe(['bad']);
    return (clock.monotonicMs() - startedAtMs) / 1_000;
  });
  assert.equal(delaysS, [30, 240, 1_920]);
  assert.ok(containment.isContained('bad'));
});

test.run();
