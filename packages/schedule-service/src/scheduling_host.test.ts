import {ManualClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {
  ENGINE_SERVICE,
  makeEngineEntry,
  makeEngineService,
  settle,
} from '@mimosatack/fakes';
import {MemoryEventLogger} from '@mimosatack/logger';
import {BatchWorthPolicy, type EngineReport} from '@mimosatack/schedule-models';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type EngineOrders, type SentOrder} from './engine_orders.js';
import {SchedulingHost} from './scheduling_host.js';

const test = suite('scheduling for all nodes');

const REPORT: EngineReport = {
  startedAtMs: null,
  orderCount: 0,
  isBusy: false,
  residents: [],
};

/** An engine that holds nothing and answers as it is told. */
class FakeOrders implements EngineOrders {
  report: EngineReport | TypedError = REPORT;
  answer: SentOrder = {outcome: 'accepted', cause: null};

  send(): Promise<SentOrder> {
    return Promise.resolve(this.answer);
  }

  readReport(): Promise<EngineReport | TypedError> {
    return Promise.resolve(this.report);
  }
}

function startHost(orders: EngineOrders) {
  const clock = new ManualClock();
  const logger = new MemoryEventLogger();
  const host = new SchedulingHost({
    ...{clock, logger, orders, policy: new BatchWorthPolicy()},
    authority: () => ({holder: 'a', fencingToken: 1}),
    quietUntilMs: () => -Infinity,
    send: () => undefined,
    onFenced: () => undefined,
  });
  const engine = {...makeEngineEntry('e1'), residents: []};
  const near = {inHostMemory: [], onDisk: ['m0']};
  host.start([makeEngineService()], [{...engine, near}]);
  host.receive('n1', {
    type: 'ask',
    ask: {
      ...{askId: 'a1', requestId: 'r1', service: ENGINE_SERVICE, model: 'm0'},
      ...{adapter: null, promptTokens: 10, outputTokens: 10, priority: 0},
      ...{waitedMs: 0, dueInMs: 500, gapMs: 300, endsInMs: 8_000},
      ...{excluded: [], allowed: null},
    },
  });
  return {clock, logger, host};
}

/*
 * Requests for a model are refused for seconds. On call, somebody sees that each
 * order to load it was 'refused' or 'unknown', and not what the engine said.
 */
test('the line of an order that failed tells why', async () => {
  const orders = new FakeOrders();
  orders.answer = {outcome: 'unknown', cause: 'no answer within 400 ms'};
  const {logger, host} = startHost(orders);
  await settle();
  const [line] = logger.fieldsOf('engine-ordered');
  assert.is(line?.['outcome'], 'unknown');
  assert.is(line?.['cause'], 'no answer within 400 ms');
  host.stop();
});

/*
 * An engine that answers no question about its state gets no orders, so its
 * models are missing, and no line told that it is the cause.
 */
test('an engine that does not tell its state is logged once, and its return', async () => {
  const orders = new FakeOrders();
  orders.report = new TypedError('backend-unreachable', 'It is silent.');
  const {clock, logger, host} = startHost(orders);
  const passTime = async () => {
    for (let step = 0; step < 10; step += 1) {
      clock.advance(100);
      await settle();
    }
  };
  await settle();
  await passTime();
  assert.is(logger.fieldsOf('engine-silent').length, 1);
  orders.report = REPORT;
  await passTime();
  assert.is(logger.fieldsOf('engine-silent').length, 1);
  assert.is(logger.fieldsOf('engine-heard').length, 1);
  host.stop();
});

/*
 * A model starts to load twice at once, and the engine falls over. It had been
 * ordered, its entry lapsed and came back, and the node that scheduled gave the
 * duty away: the next one was not told of the order, and did not wait.
 */
test('an order is remembered though the engine lapses meanwhile', async () => {
  const {clock, host} = startHost(new FakeOrders());
  await settle();
  clock.advance(1_000);
  host.dropServer('e1');
  const [told] = host.listLastOrders();
  assert.is(told?.engineId, 'e1');
  assert.is(told?.ageMs, 1_000);
  clock.advance(60_000);
  assert.equal(host.listLastOrders(), []);
  host.stop();
});

test.run();
