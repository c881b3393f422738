import {ManualClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {
  ENGINE_SERVICE,
  makeEngineEntry,
  makeEngineService,
  flushPendingCallbacks,
} from '@mimosatack/fakes';
import {MemoryEventLogger} from '@mimosatack/logger';
import {BatchWorthPolicy, type EngineReport} from '@mimosatack/schedule-models';
import {type QuotaCharge, type QuotaRefusal} from '@mimosatack/team-quotas';
import {UNLIMITED} from '@mimosatack/share-limits';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type EngineOrders, type OrderResult} from './engine_orders.js';
import {type FromHolderMessage, type ToHolderMessage} from './messages.js';
import {type HolderQuotas, SchedulingService} from './scheduling_service.js';

const test = suite('scheduling host');

const REPORT: EngineReport = {
  startedAtMs: null,
  orderCount: 0,
  isBusy: false,
  residents: [],
};

/** An empty engine with configurable answers. */
class FakeOrders implements EngineOrders {
  report: EngineReport | TypedError = REPORT;
  answer: OrderResult = {outcome: 'accepted', cause: null};

  send(): Promise<OrderResult> {
    return Promise.resolve(this.answer);
  }

  readReport(): Promise<EngineReport | TypedError> {
    return Promise.resolve(this.report);
  }
}

/** The quota of one team, without refill. */
class FakeQuotas implements HolderQuotas {
  charged = 0;

  constructor(private readonly limit: number) {}

  chargeAtHolder({amount}: QuotaCharge): QuotaRefusal | null {
    if (this.charged + amount > this.limit) {
      return {
        ...{level: this.limit - this.charged, retryAfterMs: 700},
        ...{isUnsettled: false, decidedBy: 'holder'},
      };
    }
    this.charged += amount;
    return null;
  }

  refundAtHolder({amount}: QuotaCharge): void {
    this.charged -= amount;
  }
}

function makeAsk(askId: string, charge: QuotaCharge | null): ToHolderMessage {
  return {
    type: 'ask',
    ask: {
      ...{askId, requestId: `of-${askId}`, service: ENGINE_SERVICE},
      ...{model: 'm0', adapter: null, promptTokens: 10, outputTokens: 10},
      ...{priority: 0, waitedMs: 0, dueInMs: 500, gapMs: 300},
      ...{endsInMs: 8_000, excluded: [], allowed: null, charge},
      softwareVersion: null,
      team: null,
      runEndsInMs: null,
    },
  };
}

function makeHost(orders: EngineOrders, quotas = new FakeQuotas(100)) {
  const sent: FromHolderMessage[] = [];
  const clock = new ManualClock();
  const logger = new MemoryEventLogger();
  const host = new SchedulingService({
    ...{clock, logger, orders, quotas, policy: new BatchWorthPolicy()},
    limiter: UNLIMITED,
    availability: {isLeaving: () => false, applyReported: () => undefined},
    authority: () => ({holder: 'a', fencingToken: 1}),
    ordersBlockedUntilMs: () => -Infinity,
    send: (_address, message) => sent.push(message),
    onFenced: () => undefined,
  });
  return {clock, logger, host, quotas, sent};
}

function startHost(orders: EngineOrders, quotas = new FakeQuotas(100)) {
  const made = makeHost(orders, quotas);
  const {host} = made;
  const engine = {...makeEngineEntry('e1'), residents: []};
  const near = {inHostMemory: [], onDisk: ['m0']};
  host.start([makeEngineService()], [{...engine, near}]);
  host.receive('n1', makeAsk('a1', null));
  return made;
}

/** Starts with a loaded engine, and awaits what `n1` and `n2` have under way. */
function startSuccessor() {
  const orders = new FakeOrders();
  const made = makeHost(orders);
  const {host} = made;
  const engine = makeEngineEntry('e1');
  orders.report = {...REPORT, residents: engine.residents ?? []};
  host.start([makeEngineService()], [engine], null, ['n1', 'n2']);
  const tell = (node: string, asks: readonly ToHolderMessage[]) =>
    host.receive(node, {
      ...{type: 'under-way', incarnation: null, servers: [], runs: []},
      asks: asks.flatMap(message =>
        message.type === 'ask' ? [message.ask] : [],
      ),
    });
  const listAssigned = () =>
    made.sent.flatMap(message =>
      message.type === 'assigned' ? [message.askId] : [],
    );
  return {...made, tell, listAssigned};
}

// Guards against giving places that other nodes' requests have to the successor's own ones.
test('a successor assigns nothing before the other nodes have told of their requests', async () => {
  const {host, tell, listAssigned} = startSuccessor();
  tell('n1', [makeAsk('a1', null)]);
  await flushPendingCallbacks();
  assert.equal(listAssigned(), []);
  tell('n2', []);
  await flushPendingCallbacks();
  assert.equal(listAssigned(), ['a1']);
  host.stop();
});

// Guards against requests that wait for a node that is gone.
test('a successor waits at most 400 ms for the other nodes', async () => {
  const {clock, host, tell, listAssigned} = startSuccessor();
  tell('n1', [makeAsk('a1', null)]);
  await flushPendingCallbacks();
  const passTime = async (steps: number) => {
    for (let step = 0; step < steps; step += 1) {
      clock.advance(50);
      await flushPendingCallbacks();
    }
  };
  await passTime(7);
  assert.equal(listAssigned(), []);
  await passTime(1);
  assert.equal(listAssigned(), ['a1']);
  host.stop();
});

// Guards against logging a failed order without the engine's reason.
test('a failed order is logged with its cause', async () => {
  const orders = new FakeOrders();
  orders.answer = {outcome: 'unknown', cause: 'no answer within 400 ms'};
  const {logger, host} = startHost(orders);
  await flushPendingCallbacks();
  const [line] = logger.fieldsOf('engine-ordered');
  assert.is(line?.['outcome'], 'unknown');
  assert.is(line?.['cause'], 'no answer within 400 ms');
  host.stop();
});

// Guards against an engine that gets no orders and no log line that says why.
test('an unresponsive engine and its recovery are logged once', async () => {
  const orders = new FakeOrders();
  orders.report = new TypedError('backend-unreachable', 'No answer.');
  const {clock, logger, host} = startHost(orders);
  const passTime = async () => {
    for (let step = 0; step < 10; step += 1) {
      clock.advance(100);
      await flushPendingCallbacks();
    }
  };
  await flushPendingCallbacks();
  await passTime();
  assert.is(logger.fieldsOf('engine-silent').length, 1);
  orders.report = REPORT;
  await passTime();
  assert.is(logger.fieldsOf('engine-silent').length, 1);
  assert.is(logger.fieldsOf('engine-heard').length, 1);
  host.stop();
});

// Guards against a second load order by the next scheduling node to an engine
// whose entry expired and came back during the first load.
test('the last order is kept after its engine is removed', async () => {
  const {clock, host} = startHost(new FakeOrders());
  await flushPendingCallbacks();
  clock.advance(1_000);
  host.removeServer('e1');
  const [entry] = host.listLastOrders();
  assert.is(entry?.engineId, 'e1');
  assert.is(entry?.ageMs, 1_000);
  clock.advance(60_000);
  assert.equal(host.listLastOrders(), []);
  host.stop();
});

// Guards against a team over its quota that takes queue space from other teams.
test('an ask over its quota is refused before it is queued', () => {
  const {host, sent, logger} = startHost(new FakeOrders());
  const charge = {team: 'link', amount: 80, isForced: false};
  host.receive('n1', makeAsk('a2', charge));
  host.receive('n1', makeAsk('a3', charge));
  assert.equal(sent, [
    {type: 'refused', askId: 'a3', reason: 'over-quota', retryAfterMs: 700},
  ]);
  const [line] = logger.fieldsOf('quota-refused');
  assert.is(line?.['requestId'], 'of-a3');
  host.stop();
});

// Guards against quotas that are used up by requests that never ran.
test('the charge of a request that has not run is refunded once', () => {
  const {host, quotas} = startHost(new FakeOrders());
  const charge = {team: 'link', amount: 10, isForced: false};
  const end = (askId: string, result: 'not-taken' | 'served' | 'neutral') =>
    host.receive('n1', {
      ...{type: 'run-ended', askId, engineId: 'e1', result},
      ...{headMs: null, isUnsent: false, slowdownPercent: null},
    });
  ['a2', 'a3', 'a4', 'a5'].forEach(askId =>
    host.receive('n1', makeAsk(askId, charge)),
  );
  host.receive('n1', makeAsk('a2', charge));
  assert.is(quotas.charged, 40);
  host.receive('n1', {type: 'withdraw', askId: 'a2'});
  end('a2', 'not-taken');
  end('a3', 'not-taken');
  end('a4', 'served');
  end('a5', 'neutral');
  assert.is(quotas.charged, 20);
  host.stop();
});

// Guards against refusals by share that operators can't tell from a lack of engines.
test('refusals by share are logged with their reasons, and what is served', async () => {
  const {clock, host, logger, sent} = startHost(new FakeOrders());
  const weights = new Map(['a', 'b'].map(team => [team, 1] as const));
  host.configure([makeEngineService()], weights);
  host.putServers([makeEngineEntry('e2')]);
  const ask = async (askId: string) => {
    const message = makeAsk(askId, null);
    if (message.type !== 'ask') return;
    host.receive('n1', {...message, ask: {...message.ask, team: 'a'}});
    await flushPendingCallbacks();
  };
  await ask('n.first');
  clock.advance(500);
  host.receive('n1', {
    ...{type: 'run-ended', askId: 'n.first', engineId: 'e2', result: 'served'},
    ...{headMs: 20, isUnsent: false, slowdownPercent: null},
  });
  for (let count = 0; count < 200; count += 1) await ask(`n.${count}`);
  const used = logger.fieldsOf('share-used');
  assert.equal(used, [{requestId: 'of-n.first', team: 'a', cost: 110}]);
  const [refused] = logger.fieldsOf('share-refused');
  assert.is(refused?.['team'], 'a');
  assert.is(refused?.['waitedMs'], 0);
  assert.is(refused?.['teamShare'], 1);
  assert.is(refused?.['dataAgeMs'], 0);
  assert.ok(sent.some(({type}) => type === 'refused'));
  host.stop();
});

test.run();
