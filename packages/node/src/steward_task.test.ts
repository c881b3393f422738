import {type SlotPlan} from '@mimosatack/records';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  HOUR_MS,
  type StewardBench,
  decideSlot,
  startStewardBench,
  waitUntil,
} from './test_fixtures.js';

const stewards = suite('stewards');

/** The slots that the engine actually holds. */
function listLoaded({engine}: StewardBench): string[] {
  return engine.core.readState().replicas.map(replica => replica.slotId);
}

function countOvercommits({engine}: StewardBench): number {
  return engine.core.observe().overcommits.length;
}

/**
 * The first node holds `r1` and has sent the load of `s1`, which the engine has
 * not received yet. From then on the node is paused until its next tick.
 */
async function freezeFirstMidLoad(
  bench: StewardBench,
  slot: Partial<SlotPlan> = {},
): Promise<void> {
  const {engine, first, second} = bench;
  await first.tickUntil(
    () => first.follower.state.stewardship.findClaim('r1') !== undefined,
  );
  const isFencing = engine.core.options.fencing === 'refuses-old';
  await first.tickUntil(
    () => !isFencing || engine.core.observe().orders.length > 0,
  );
  engine.core.faults.set({holdOrders: 1});
  await decideSlot(first, 's1', 'saturday', slot);
  await first.tickUntil(() => engine.core.faults.values.holdOrders === 0);
  await waitUntil(
    () => second.follower.state.sequence === first.follower.state.sequence,
  );
  second.gone.add(first.incarnation);
}

/** Delivers the orders that are held back. */
async function deliverHeldOrders({engine}: StewardBench): Promise<void> {
  await fetch(`${engine.baseUrl}/control/release-orders`, {method: 'POST'});
}

async function takeOver({first, second}: StewardBench): Promise<void> {
  second.ranking = [second.incarnation, first.incarnation];
  await second.tickUntil(
    () =>
      second.follower.state.stewardship.findClaim('r1')?.holder ===
      second.incarnation,
  );
}

async function withBench(
  fencing: 'refuses-old' | 'ignores',
  run: (bench: StewardBench) => Promise<void>,
): Promise<void> {
  const bench = await startStewardBench({fencing});
  try {
    await run(bench);
  } finally {
    await bench.close();
  }
}

stewards('step in for a holder that leaves a due load undone', () =>
  // Guards against a late load that is never ordered because the holder pauses
  // shortly before an event, while membership still believes it alive.
  withBench('refuses-old', async bench => {
    const {first, second} = bench;
    await first.tickUntil(
      () => first.follower.state.stewardship.findClaim('r1') !== undefined,
    );
    // A step that the first node has scheduled itself must not order the load.
    await first.follower.stop();
    const loadAtMs = Date.now() + 1_800;
    await decideSlot(second, 's1', 'saturday', {loadAtMs});
    await second.tickUntil(() => listLoaded(bench).includes('s1'));
    const {stewardship} = second.follower.state;
    await second.tickUntil(
      () => stewardship.findClaim('r1')?.holder === second.incarnation,
    );
    assert.is(countOvercommits(bench), 0);
  }),
);

stewards('load what was decided and release what has ended', () =>
  withBench('refuses-old', async bench => {
    const {first} = bench;
    await decideSlot(first, 's1');
    await first.tickUntil(() => listLoaded(bench).includes('s1'));
    await first.write({
      type: 'end-slots',
      slotIds: ['s1'],
      reason: 'event-changed',
    });
    await first.tickUntil(
      () => first.follower.state.placement.find('s1') === undefined,
    );
    assert.equal(listLoaded(bench), []);
  }),
);

// Guards against a late load of a paused steward that takes effect after
// another steward has taken over and released the slot.
stewards('fence off the late order of a frozen steward', () =>
  withBench('refuses-old', async bench => {
    const {engine, second} = bench;
    await freezeFirstMidLoad(bench);
    await takeOver(bench);
    await second.write({
      type: 'end-slots',
      slotIds: ['s1'],
      reason: 'event-changed',
    });
    await second.tickUntil(
      () => second.follower.state.placement.find('s1') === undefined,
    );
    const before = engine.core.observe().orders.length;
    await deliverHeldOrders(bench);
    await waitUntil(() => engine.core.observe().orders.length > before);
    assert.is(
      engine.core.observe().orders.at(-1)?.outcome,
      'stale-fencing-number',
    );
    assert.equal(listLoaded(bench), []);
  }),
);

// Guards against overcommitted memory when an engine without fencing carries
// out the late load of a paused steward.
stewards('keep memory free for the late order of a frozen steward', () =>
  withBench('ignores', async bench => {
    const {engine, first, second} = bench;
    const untilMs = Date.now() + HOUR_MS;
    const next = {loadAtMs: untilMs, untilMs: untilMs + HOUR_MS};
    await decideSlot(first, 's2', 'sunday', next);
    await freezeFirstMidLoad(bench, {untilMs});
    await takeOver(bench);
    second.clock.aheadMs = HOUR_MS + 1;
    await second.tickUntil(
      () => second.follower.state.placement.find('s1')?.status === 'ending',
    );
    await second.tick(20);
    assert.ok(second.follower.state.placement.find('s1'), 's1 was released');
    assert.equal(listLoaded(bench), []);
    await deliverHeldOrders(bench);
    await waitUntil(() => engine.core.observe().replicas.length > 0);
    await second.tickUntil(() => listLoaded(bench).length === 0);
    await waitUntil(
      () => listLoaded(bench).includes('s2'),
      () => [first, second].forEach(node => node.task.post({type: 'tick'})),
    );
    assert.is(countOvercommits(bench), 0);
  }),
);

// Guards against models that stay cold when the steward crashes while the log
// is down, and against the late order of the crashed steward.
stewards('let a successor go on while the log is down', () =>
  withBench('refuses-old', async bench => {
    const {engine, platform, second} = bench;
    await freezeFirstMidLoad(bench);
    platform.core.log.faults.set({down: true});
    await second.tickUntil(() => listLoaded(bench).includes('s1'));
    const before = engine.core.observe().orders.length;
    await deliverHeldOrders(bench);
    await waitUntil(() => engine.core.observe().orders.length > before);
    const last = engine.core.observe().orders.at(-1);
    assert.is(last?.outcome, 'stale-fencing-number');
    platform.core.log.faults.set({down: false});
    await takeOver(bench);
    assert.equal(listLoaded(bench), ['s1']);
  }),
);

// Guards against a successor that loads beside the old steward during a log
// outage, on an engine that cannot refuse the old one.
stewards('have no successor on an engine that ignores fencing', () =>
  withBench('ignores', async bench => {
    const {engine, platform, second} = bench;
    await freezeFirstMidLoad(bench);
    platform.core.log.faults.set({down: true});
    await second.tickUntil(() => !second.follower.status.isLogReachable);
    await second.tick(20);
    assert.is(engine.core.observe().orders.length, 0);
  }),
);

// Guards against a slot that is released while its unload may still arrive, and
// against one that is never released after a lost answer.
stewards('release a slot after the answer to its unload was lost', () =>
  withBench('refuses-old', async bench => {
    const {engine, first} = bench;
    await decideSlot(first, 's1');
    await first.tickUntil(() => listLoaded(bench).includes('s1'));
    engine.core.faults.set({loseOrderAnswers: 1});
    await first.write({type: 'end-slots', slotIds: ['s1'], reason: 'moved'});
    await first.tickUntil(
      () => first.follower.state.placement.find('s1') === undefined,
    );
    const taken = engine.core
      .observe()
      .orders.filter(({order}) => order.order === 'unload');
    assert.ok(taken.length >= 3, 'a fence, the unload and a second fence');
  }),
);

// Guards against a doubt that stays forever because the former holder's host is
// gone and cannot acknowledge.
stewards('clear a doubt when the former holder is proved dead', () =>
  withBench('ignores', async bench => {
    const {second} = bench;
    await freezeFirstMidLoad(bench);
    await takeOver(bench);
    await second.tick(10);
    const listDoubts = () =>
      second.follower.state.stewardship.listInDoubtClaims('r1').length;
    assert.is(listDoubts(), 1);
    second.evidence = 'host-gone';
    await second.tickUntil(() => listDoubts() === 0);
  }),
);

// Guards against two nodes that believe each other dead, such as with a wrong
// cluster secret, and keep claiming the same engine in turn.
stewards('do not claim in turn when they do not know each other', () =>
  withBench('refuses-old', async bench => {
    const nodes = [bench.first, bench.second];
    nodes.forEach(node => {
      node.isEveryoneKnown = false;
      node.ranking = [node.incarnation];
      nodes.forEach(other => node.gone.add(other.incarnation));
    });
    const findEpoch = () =>
      bench.first.follower.state.stewardship.findClaim('r1')?.epoch;
    await bench.first.tickUntil(() => findEpoch() !== undefined);
    const before = bench.first.follower.state.sequence;
    await waitUntil(() => bench.second.follower.state.sequence === before);
    for (let round = 0; round < 50; round += 1) {
      await Promise.all(nodes.map(node => node.tick(1)));
    }
    assert.is(bench.first.follower.state.sequence, before);
  }),
);

stewards.run();
