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

/** The slots that the engine truly holds. */
function listLoaded({engine}: StewardBench): string[] {
  return engine.core.readState().replicas.map(replica => replica.slotId);
}

function countOvercommits({engine}: StewardBench): number {
  return engine.core.observe().overcommits.length;
}

/**
 * The first node holds `r1` and has sent the load of `s1`, which is still on
 * the way. Then it is frozen: it does nothing more until it is ticked again.
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

/** Lets the order that is on the way arrive. */
async function releaseOrders({engine}: StewardBench): Promise<void> {
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
  // The holder freezes a moment before the start of an event. Nobody believes
  // it dead yet, so the late load that it should order would never begin.
  withBench('refuses-old', async bench => {
    const {first, second} = bench;
    await first.tickUntil(
      () => first.follower.state.stewardship.findClaim('r1') !== undefined,
    );
    const loadAtMs = Date.now() + 1_800;
    await decideSlot(first, 's1', 'saturday', {loadAtMs});
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

// A steward is frozen with a load on the way. Another takes over, the event is
// cancelled, and the slot is released. Then the late load arrives: without a
// fence the engine would hold a replica that nobody decided.
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
    await releaseOrders(bench);
    await waitUntil(() => engine.core.observe().orders.length > before);
    assert.is(
      engine.core.observe().orders.at(-1)?.outcome,
      'stale-fencing-number',
    );
    assert.equal(listLoaded(bench), []);
  }),
);

// The same on an engine that ignores fencing numbers: the late load does take
// effect. Its memory was kept free all the time, so that the next event's
// replica was not loaded beside it and the runner was never overcommitted.
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
    await releaseOrders(bench);
    await waitUntil(() => engine.core.observe().replicas.length > 0);
    await second.tickUntil(() => listLoaded(bench).length === 0);
    await waitUntil(
      () => listLoaded(bench).includes('s2'),
      () => [first, second].forEach(node => node.task.post({type: 'tick'})),
    );
    assert.is(countOvercommits(bench), 0);
  }),
);

// The log service is down and the steward dies with a load still to do. A
// successor named in its claim goes on with what was decided, so the models of
// the event become warm all the same; the dead one's late order is refused.
stewards('let a successor go on while the log is down', () =>
  withBench('refuses-old', async bench => {
    const {engine, platform, second} = bench;
    await freezeFirstMidLoad(bench);
    platform.core.log.faults.set({down: true});
    await second.tickUntil(() => listLoaded(bench).includes('s1'));
    const before = engine.core.observe().orders.length;
    await releaseOrders(bench);
    await waitUntil(() => engine.core.observe().orders.length > before);
    const last = engine.core.observe().orders.at(-1);
    assert.is(last?.outcome, 'stale-fencing-number');
    platform.core.log.faults.set({down: false});
    await takeOver(bench);
    assert.equal(listLoaded(bench), ['s1']);
  }),
);

// Where the engine can't turn the old steward away, a successor that acts in
// an outage could load beside it. It must wait for the log.
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

// An unload takes effect but its answer is lost. The slot must not count as
// released while the unload may still be on the way, and must be in the end.
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
    assert.ok(taken.length >= 3, 'a fence, the unload, and one to settle it');
  }),
);

// The former holder's machine is gone for good, so it can never say that it
// has nothing on the way. Proof of its death ends the doubt instead.
stewards('clear a doubt when the former holder is proved dead', () =>
  withBench('ignores', async bench => {
    const {second} = bench;
    await freezeFirstMidLoad(bench);
    await takeOver(bench);
    await second.tick(10);
    const listDoubts = () =>
      second.follower.state.stewardship.listDoubts('r1').length;
    assert.is(listDoubts(), 1);
    second.evidence = 'host-gone';
    await second.tickUntil(() => listDoubts() === 0);
  }),
);

// A node with a wrong cluster secret shares the log but hears of nobody. It and
// the real holder would take each other for dead and claim the same engine in
// turn, as fast as they can write. Each must become ever more patient instead.
stewards('do not fight over an engine when they do not know each other', () =>
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
