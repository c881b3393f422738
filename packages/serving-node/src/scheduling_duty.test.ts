import {ManualClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {
  ENGINE_SERVICE,
  makeEngineEntry,
  makeEngineService,
  flushPendingCallbacks,
} from '@mimosatack/fakes';
import {DutyHolderCodec} from '@mimosatack/hold-duty';
import {MemoryKeyedTopic} from '@mimosatack/keyed-store';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import {type EngineReport} from '@mimosatack/schedule-models';
import {
  type FromHolderMessage,
  type ToHolderMessage,
} from '@mimosatack/schedule-service';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulingDuty} from './scheduling_duty.js';

const test = suite('scheduling duty');

/** An engine without resident models that has model m0 on disk. */
const NEAR_ONLY = {residents: [], near: {inHostMemory: [], onDisk: ['m0']}};
const EMPTY_REPORT: EngineReport = {
  ...{startedAtMs: null, orderCount: 0, isBusy: false, residents: []},
};
const SUCCESSOR = {nodeName: 'b', incarnation: 'b.1', address: 'b:1'};

function makeAsk(askId: string): ToHolderMessage {
  return {
    type: 'ask',
    ask: {
      ...{askId, requestId: askId, service: ENGINE_SERVICE, model: 'm0'},
      ...{adapter: null, promptTokens: 10, outputTokens: 10, priority: 0},
      ...{waitedMs: 0, dueInMs: 500, gapMs: 300, endsInMs: 2_000},
      ...{excluded: [], allowed: null, charge: null},
      softwareVersion: null,
      team: null,
      runEndsInMs: null,
    },
  };
}

/** @param report sent by the engine; without it, the engine does not answer. */
async function startDuty(report?: EngineReport, isFenced = true) {
  const clock = new ManualClock();
  const topic = new MemoryKeyedTopic();
  const sent: FromHolderMessage[] = [];
  const sentOrders: Array<{
    isEnding: boolean;
    orders: ReadonlyArray<{engineId: string; ageMs: number}>;
  }> = [];
  let orders = 0;
  const duty: SchedulingDuty = new SchedulingDuty({
    clock,
    logger: new MemoryEventLogger(),
    limits: {findLimit: () => null, findShare: () => 1},
    availability: {isLeaving: () => false, applyReported: () => undefined},
    duty: {
      ...{topic, random: new SeededRandom(1), key: 'scheduler'},
      self: {nodeName: 'a', incarnation: 'a.1', address: 'a:1'},
      findHolderContact: () => 'alive',
      findRank: () => 0,
      isReachedByOthers: () => false,
      claimHoldOffUntilMs: () => -Infinity,
      isGrantorOf: () => false,
      ownGrantEndsAtMs: () => -Infinity,
      findGrantsEndMs: () => -Infinity,
      ...{isFenced, leaseMs: 3_000},
      isEligible: () => true,
      ...{onLost: () => undefined, onLeftOut: () => undefined},
      onRegained: () => undefined,
    },
    quotas: {
      chargeAtHolder: () => null,
      refundAtHolder: () => undefined,
      startHolding: () => undefined,
      stopHolding: () => undefined,
    },
    orders: {
      send: () => {
        orders += 1;
        return Promise.resolve({outcome: 'refused', cause: null});
      },
      readReport: () =>
        Promise.resolve(
          report ?? new TypedError('backend-unreachable', 'No answer.'),
        ),
    },
    random: new SeededRandom(1),
    broadcast: () => undefined,
    sendLastOrders: ({isEnding, orders: reported}) =>
      sentOrders.push({isEnding, orders: reported}),
    send: (_address, message) => sent.push(message),
    findTeamWeights: () => null,
    listServices: () => [makeEngineService()],
    listServers: () => [
      report ? {...makeEngineEntry('e1'), ...NEAR_ONLY} : makeEngineEntry('e1'),
    ],
    listNodes: () => [],
    onHolder: () => undefined,
  });
  duty.start();
  const advance = async (ms: number) => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      clock.advance(50);
      await flushPendingCallbacks();
    }
  };
  await advance(500);
  assert.ok(duty.isHeld);
  const ask = async (askId: string) => {
    duty.receive('b:1', makeAsk(askId));
    await flushPendingCallbacks();
    return sent.find(message => 'askId' in message && message.askId === askId)
      ?.type;
  };
  const countOrders = () => orders;
  const nowMs = () => clock.monotonicMs();
  return {topic, duty, advance, ask, sentOrders, countOrders, nowMs};
}

// Guards against a successor that waits a whole lease before its first order
// where engines do not check fencing tokens.
test('a handover sends the last orders to the successor', async () => {
  const {duty, advance, ask, sentOrders, countOrders} = await startDuty(
    EMPTY_REPORT,
    false,
  );
  await ask('a1');
  await advance(1_000);
  assert.ok(countOrders() > 0);
  await duty.handOver(() => SUCCESSOR);
  assert.not(duty.isHeld);
  assert.equal(
    sentOrders.map(({isEnding}) => isEnding),
    [false],
  );
});

// Guards against a successor that orders engines within the lease of the holder before
// this one: a process that started since then learns of those orders from nobody else.
test('a handover also names the orders of the holder before', async () => {
  const {topic, duty, advance, sentOrders, nowMs} = await startDuty(
    EMPTY_REPORT,
    false,
  );
  await duty.handOver(() => SUCCESSOR);
  const self = {nodeName: 'a', incarnation: 'a.1', address: 'a:1'};
  const value = DutyHolderCodec.encode({...self, handedOverBy: 'b.1'}, 0);
  await topic.append([{key: 'scheduler', value}], {atOffset: topic.endOffset});
  duty.noteLastOrders({
    ...{incarnation: 'b.1', successorToken: topic.endOffset},
    ...{anyTargetAtMs: -Infinity},
    atMsByTarget: new Map([['e9', nowMs() - 400]]),
  });
  await advance(1_000);
  assert.ok(duty.isHeld);
  await duty.handOver(() => SUCCESSOR);
  assert.equal(sentOrders.at(-1)?.orders, [{engineId: 'e9', ageMs: 1_400}]);
});

// Guards against orders from two nodes when a handover fails after the node has
// announced that it sends no more orders.
test('a node sends no orders after it has stopped ordering', async () => {
  const {topic, duty, advance, ask, sentOrders, countOrders} =
    await startDuty(EMPTY_REPORT);
  await ask('a1');
  await advance(1_000);
  assert.ok(countOrders() > 0);
  topic.isDown = true;
  void duty.handOver(() => SUCCESSOR);
  duty.stopOrdering();
  const before = countOrders();
  await advance(2_000);
  await ask('a2');
  await advance(2_000);
  assert.is(countOrders(), before);
  assert.equal(
    sentOrders.map(({isEnding}) => isEnding),
    [true],
  );
});

// Guards against unscheduled requests when the store is down during a shutdown.
test('schedules on while the duty can not be handed over', async () => {
  const {topic, duty, advance, ask} = await startDuty();
  topic.isDown = true;
  let isOver = false;
  void duty.handOver(() => SUCCESSOR).then(() => (isOver = true));
  await advance(1_000);
  assert.is(await ask('r1'), 'assigned');
  assert.not(isOver);
  topic.isDown = false;
  await advance(1_000);
  assert.ok(isOver);
  assert.not(duty.isHeld);
  assert.is(duty.holder?.nodeName, 'b');
});

// Guards against requests that wait for a node that no longer schedules.
test('answers not-scheduling at once when it does not hold the duty', async () => {
  const {duty, advance, ask} = await startDuty();
  await duty.handOver(() => SUCCESSOR);
  await advance(100);
  assert.is(await ask('r1'), 'not-scheduling');
});

// Guards against two handovers at once, of a node that is cut off and told to stop.
test('a second handover joins the first', async () => {
  const {duty, sentOrders} = await startDuty();
  await Promise.all([
    duty.handOver(() => SUCCESSOR),
    duty.handOver(() => SUCCESSOR),
  ]);
  assert.not(duty.isHeld);
  assert.is(sentOrders.length, 1);
});

test('a handover ends when there is no successor', async () => {
  const {duty, ask} = await startDuty();
  await duty.handOver(() => null);
  assert.is(await ask('r1'), 'assigned');
});

test.run();
