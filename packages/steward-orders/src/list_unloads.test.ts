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

/** Looks every 100 ms until the unload is ordered; null when it never is. */
function findUnloadMs(parts: Partial<StewardInput>): number | null {
  let {memory} = makeInput();
  for (let nowMs = END_MS; nowMs < END_MS + 120_000; nowMs += 100) {
    const step = decideSteward(makeInput({...parts, memory, nowMs}));
    if (step.orders.length > 0) return nowMs - END_MS;
    memory = step.memory;
  }
  return null;
}

test('waits for requests that were sent just before the end', () => {
  // A router with a clock that is a little behind sends a request at the end
  // of the slot; the engine's report does not show it yet. An unload at once
  // would cut it off.
  const slot = makeSlot();
  const engine = makeEngine({replicas: [makeReplica(slot)]});
  assert.is(findUnloadMs({slots: [slot], engine}), DRAIN.clockSkewMs);
});

test('waits until routers have learnt of an end in the log', () => {
  const slot = makeSlot({status: 'ending', untilMs: END_MS + 600_000});
  const engine = makeEngine({replicas: [makeReplica(slot)]});
  assert.is(findUnloadMs({slots: [slot], engine}), DRAIN.foldLagMs);
  assert.is(findUnloadMs({slots: [], engine}), DRAIN.foldLagMs);
});

test('waits for what runs on an adapter before it unloads the base', () => {
  const slot = makeSlot({adapters: ['a']});
  const adapter = makeReplica(slot, {
    slotId: 's1/a',
    adapter: 'a',
    activeRequests: 1,
  });
  const engine = makeEngine({replicas: [makeReplica(slot), adapter]});
  const nowMs = END_MS + DRAIN.maxRequestMs;
  assert.is(findUnloadMs({slots: [slot], engine}), DRAIN.maxRequestMs);
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

test('unloads at once what never served a request', () => {
  const slot = makeSlot({
    status: 'ending',
    loadAtMs: END_MS + 300_000,
    untilMs: END_MS + 600_000,
  });
  const engine = makeEngine({replicas: [makeReplica(slot)]});
  assert.is(findUnloadMs({slots: [slot], engine}), 0);
});

test.run();
