import {ManualClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {
  ENGINE_SERVICE,
  makeEngineEntry,
  makeEngineService,
  settle,
} from '@mimosatack/fakes';
import {MemoryKeyedTopic} from '@mimosatack/keyed-store';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import {type EngineReport} from '@mimosatack/schedule-models';
import {type FromHolder, type ToHolder} from '@mimosatack/schedule-service';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SchedulingDuty} from './scheduling_duty.js';

const test = suite('scheduling as a duty');

/** It holds nothing and has the model on its disk. */
const NEAR_ONLY = {residents: [], near: {inHostMemory: [], onDisk: ['m0']}};
const EMPTY_REPORT: EngineReport = {
  ...{startedAtMs: null, orderCount: 0, isBusy: false, residents: []},
};
const SUCCESSOR = {nodeName: 'b', incarnation: 'b.1', address: 'b:1'};

function makeAsk(askId: string): ToHolder {
  return {
    type: 'ask',
    ask: {
      ...{askId, requestId: askId, service: ENGINE_SERVICE, model: 'm0'},
      ...{adapter: null, promptTokens: 10, outputTokens: 10, priority: 0},
      ...{waitedMs: 0, dueInMs: 500, gapMs: 300, endsInMs: 2_000},
      ...{excluded: [], allowed: null, charge: null},
    },
  };
}

/** @param report what the engine tells of itself; silent when not given. */
async function startDuty(report?: EngineReport, isFenced = true) {
  const clock = new ManualClock();
  const topic = new MemoryKeyedTopic();
  const sent: FromHolder[] = [];
  const told: Array<{isEnding: boolean}> = [];
  let orders = 0;
  const duty: SchedulingDuty = new SchedulingDuty({
    clock,
    logger: new MemoryEventLogger(),
    duty: {
      ...{topic, random: new SeededRandom(1), key: 'scheduler'},
      self: {nodeName: 'a', incarnation: 'a.1', address: 'a:1'},
      contactWith: () => 'alive',
      findRank: () => 0,
      isHeardByOthers: () => false,
      quietUntilMs: () => -Infinity,
      isCountedBy: () => false,
      promisedUntilMs: () => -Infinity,
      grantedUntilMs: () => -Infinity,
      ...{isFenced, leaseMs: 3_000},
      isEligible: () => true,
      onLost: () => undefined,
      onRegained: () => undefined,
    },
    quotas: {
      chargeAsked: () => null,
      giveBackAsked: () => undefined,
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
    tellLastOrders: ({isEnding}) => told.push({isEnding}),
    send: (_address, message) => sent.push(message),
    listServices: () => [makeEngineService()],
    listServers: () => [
      report ? {...makeEngineEntry('e1'), ...NEAR_ONLY} : makeEngineEntry('e1'),
    ],
    onHolder: () => undefined,
  });
  duty.start();
  const pass = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      clock.advance(50);
      await settle();
    }
  };
  await pass(500);
  assert.ok(duty.isHeld);
  const ask = async (askId: string) => {
    duty.receive('b:1', makeAsk(askId));
    await settle();
    return sent.find(message => message.askId === askId)?.type;
  };
  const countOrders = () => orders;
  return {topic, duty, pass, ask, told, countOrders};
}

/*
 * A node that schedules is stopped as planned where engines check no fences. If it
 * told nothing, the next one would order no engine for seconds, and users would
 * wait for models meanwhile.
 */
test('the next one is told whom this one has ordered', async () => {
  const {duty, pass, ask, told, countOrders} = await startDuty(
    EMPTY_REPORT,
    false,
  );
  await ask('a1');
  await pass(1_000);
  assert.ok(countOrders() > 0);
  await duty.handOver(() => SUCCESSOR);
  assert.not(duty.isHeld);
  assert.equal(told, [{isEnding: false}]);
});

/*
 * The node that schedules is stopped while the store is down. It has told the
 * others that it orders no more, and the next one orders at once; meanwhile its
 * own try to give the duty away ends in vain. Ordering on, it would order by turns
 * with the next one.
 */
test('a node that has retired orders no more', async () => {
  const {topic, duty, pass, ask, told, countOrders} =
    await startDuty(EMPTY_REPORT);
  await ask('a1');
  await pass(1_000);
  assert.ok(countOrders() > 0);
  topic.isDown = true;
  void duty.handOver(() => SUCCESSOR);
  duty.retire();
  const before = countOrders();
  await pass(2_000);
  await ask('a2');
  await pass(2_000);
  assert.is(countOrders(), before);
  assert.equal(told, [{isEnding: true}]);
});

/*
 * The node that schedules is stopped as planned while the store is down. Its
 * duty can't be given away, and all others still hear it: requests for models
 * that they send it must go on being scheduled, or they wait until their
 * callers leave.
 */
test('schedules on while the duty can not be handed over', async () => {
  const {topic, duty, pass, ask} = await startDuty();
  topic.isDown = true;
  let isOver = false;
  void duty.handOver(() => SUCCESSOR).then(() => (isOver = true));
  await pass(1_000);
  assert.is(await ask('r1'), 'assigned');
  assert.not(isOver);
  topic.isDown = false;
  await pass(1_000);
  assert.ok(isOver);
  assert.not(duty.isHeld);
  assert.is(duty.holder?.nodeName, 'b');
});

/*
 * Another node has the duty already, and a node that has not heard of it still
 * sends its requests here. Told so at once, it chooses by itself.
 */
test('says at once when it does not schedule', async () => {
  const {duty, pass, ask} = await startDuty();
  await duty.handOver(() => SUCCESSOR);
  await pass(100);
  assert.is(await ask('r1'), 'not-scheduling');
});

test('ends a hand-over when there is nobody to take it', async () => {
  const {duty, ask} = await startDuty();
  await duty.handOver(() => null);
  assert.is(await ask('r1'), 'assigned');
});

test.run();
