import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type StewardInput, decideSteward} from './decide_orders.js';
import {
  DRAIN,
  makeEngine,
  makeInput,
  makeReplica,
  makeSlot,
} from './test_fixtures.js';

const test = suite('unloads');

const END_MS = 200_000;

/** Decides every 100 ms; null if no unload is ordered. */
function findUnloadDelayMs(parts: Partial<StewardInput>): number | null {
  let {memory} = makeInput();
  for (let nowMs = END_MS; nowMs < END_MS + 120_000; nowMs += 100) {
    const step = decideSteward(makeInput({...parts, memory, nowMs}));
    if (step.orders.length > 0) return nowMs - END_MS;
    memory = step.memory;
  }
  return null;
}

test('waits for requests that were sent just before the end', () => {
  // Guards against interrupting a request from a router whose clock is behind,
  // which the engine's report does not show yet.
  const slot = makeSlot();
  const engine = makeEngine({replicas: [makeReplica(slot)]});
  assert.is(findUnloadDelayMs({slots: [slot], engine}), DRAIN.clockSkewMs);
});

test('waits until routers have applied an end from the log', () => {
  const slot = makeSlot({status: 'ending', untilMs: END_MS + 600_000});
  const engine = makeEngine({replicas: [makeReplica(slot)]});
  assert.is(findUnloadDelayMs({slots: [slot], engine}), DRAIN.foldLagMs);
  assert.is(findUnloadDelayMs({slots: [], engine}), DRAIN.foldLagMs);
});

test('waits for requests on an adapter before it unloads the base', () => {
  const slot = makeSlot({adapters: ['a']});
  const adapter = makeReplica(slot, {
    slotId: 's1/a',
    adapter: 'a',
    activeRequests: 1,
  });
  const engine = makeEngine({replicas: [makeReplica(slot), adapter]});
  const nowMs = END_MS + DRAIN.maxRequestMs;
  assert.is(findUnloadDelayMs({slots: [slot], engine}), DRAIN.maxRequestMs);
  const {orders} = decideSteward(
    makeInput({
      slots: [slot],
      engine,
      nowMs,
      memory: {
        stagingLoads: new Map(),
        unwantedSinceMs: new Map([['s1', END_MS]]),
      },
    }),
  );
  assert.equal(
    orders.map(order => order.slotId),
    ['s1/a', 's1'],
  );
});

test('unloads a slot at once when it has not served requests yet', () => {
  const slot = makeSlot({
    status: 'ending',
    loadAtMs: END_MS + 300_000,
    untilMs: END_MS + 600_000,
  });
  const engine = makeEngine({replicas: [makeReplica(slot)]});
  assert.is(findUnloadDelayMs({slots: [slot], engine}), 0);
});

test.run();
