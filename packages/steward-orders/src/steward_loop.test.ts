import {type Slot} from '@mimosatack/agreed-state';
import {ManualClock} from '@mimosatack/clock';
import {EngineStandIn} from '@mimosatack/stand-ins';
import * as fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {decideSteward} from './decide_orders.js';
import {makeFencingNumber} from './fencing_number.js';
import {ADAPTER_MIB, MODEL_MIB, makeInput, makeSlot} from './test_fixtures.js';

const test = suite('steward and engine');

const ENGINE_MIB = 2 * MODEL_MIB;
const STEP_MS = 100;
const END_MS = 60_000;
const REQUEST_EVERY_MS = 700;

const slotArbitrary = fc
  .record({
    fromMs: fc.integer({min: 0, max: 30_000}),
    holdMs: fc.integer({min: 5_000, max: 20_000}),
    gapMs: fc.integer({min: 0, max: 5_000}),
    hasAdapter: fc.boolean(),
    isStaged: fc.boolean(),
    slowdown: fc.constantFrom(1, 1, 5),
  })
  .map(({fromMs, holdMs, gapMs, hasAdapter, isStaged, slowdown}) => {
    const loadAtMs = fromMs + 4_000 + gapMs;
    return {
      slowdown,
      plan: {
        adapters: hasAdapter ? ['a'] : [],
        memoryMib: MODEL_MIB + (hasAdapter ? ADAPTER_MIB : 0),
        stage: isStaged ? {fromMs, untilMs: fromMs + 4_000} : null,
        storeMs: 1_000,
        loadAtMs,
        untilMs: loadAtMs + holdMs,
      },
    };
  });

interface RunResult {
  engine: EngineStandIn;
  interrupted: number;
}

/** Runs decisions against an engine that accepts every order. */
function runSteward(slots: readonly Slot[], slowdown: number): RunResult {
  const clock = new ManualClock();
  const engine = new EngineStandIn(
    {memoryMib: ENGINE_MIB, checksMemory: false, memoryCheckpoints: 1},
    clock,
    {fetch: (_ref, _size, onDone) => clock.setTimer(1_000, onDone)},
  );
  let {memory} = makeInput();
  let orderCount = 0;
  for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
    const step = decideSteward(
      makeInput({
        slots,
        engine: engine.readState(),
        memory,
        nowMs,
        findLoadTimes: slot => ({
          startsAtMs: slot.loadAtMs + 1_000,
          storeLoadMs: 1_300,
          cachedLoadMs: {memory: 700, disk: 900},
          slowdown,
        }),
      }),
    );
    memory = step.memory;
    step.orders.forEach(order => {
      orderCount += 1;
      engine.applyOrder({
        ...order,
        orderId: `order-${orderCount}`,
        fencingNumber: makeFencingNumber({epoch: 1, rank: 0, orderCount}),
      });
    });
    if (nowMs % REQUEST_EVERY_MS === 0) sendRequests(engine, slots, nowMs);
    clock.advance(STEP_MS);
  }
  const {requests} = engine.observe();
  const interrupted = requests.filter(
    each => each.outcome === 'cut-off',
  ).length;
  return {engine, interrupted};
}

/** Sends one request to each warm slot that has not ended. */
function sendRequests(
  engine: EngineStandIn,
  slots: readonly Slot[],
  nowMs: number,
): void {
  const warm = new Set(
    engine
      .readState()
      .replicas.filter(replica => replica.status === 'warm')
      .map(replica => replica.slotId),
  );
  slots
    .filter(slot => nowMs >= slot.loadAtMs && nowMs < slot.untilMs)
    .filter(slot => warm.has(slot.slotId))
    .forEach(({model}) =>
      engine.submit({
        header: {kind: 'text', model, requestId: `${model}-${nowMs}`},
        request: {model, prompt: 'a b c', max_tokens: 200},
        idempotencyKey: null,
        priority: 5,
      }),
    );
}

function makeSlots(plans: readonly Partial<Slot>[]): Slot[] {
  return plans.map((plan, index) =>
    makeSlot({...plan, slotId: `s${index}`, model: `m${index}`}),
  );
}

test('never overcommits memory and interrupts no request', () => {
  // Guards against loads into occupied memory and unloads of replicas in use,
  // also for plans whose slots do not fit together.
  fc.assert(
    fc.property(
      fc.array(slotArbitrary, {minLength: 1, maxLength: 6}),
      drawn => {
        const slots = makeSlots(drawn.map(({plan}) => plan));
        const {engine, interrupted} = runSteward(
          slots,
          drawn[0]?.slowdown ?? 1,
        );
        assert.equal(engine.observe().overcommits, []);
        assert.is(interrupted, 0);
      },
    ),
    {seed: 3, numRuns: 30},
  );
});

test('loads every slot of a plan that fits, in any order', () => {
  fc.assert(
    fc.property(fc.tuple(slotArbitrary, slotArbitrary), drawn => {
      const plans = drawn.map(({plan}) => ({
        ...plan,
        adapters: [],
        memoryMib: MODEL_MIB,
      }));
      const {engine} = runSteward(makeSlots(plans), 1);
      const served = engine.observe().replicas.filter(each => each.warmMs);
      const missing = plans.filter(
        (plan, index) =>
          !served.some(
            each =>
              each.slotId === `s${index}` &&
              (each.warmMs ?? 0) <= plan.loadAtMs + 2_000,
          ),
      );
      assert.equal(missing, []);
    }),
    {seed: 3, numRuns: 30},
  );
});

test.run();
