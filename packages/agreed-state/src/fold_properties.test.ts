/** Properties that hold for every order of records. */
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {encodeBatch} from '@mimosatack/records';
import {AgreedState} from './agreed_state.js';
import {findPeakMib} from './placement/memory_profile.js';
import {holdsFromMs} from './placement/slot.js';
import {
  type FoldBench,
  START_MS,
  makeClaim,
  makeEvent,
  makePlan,
  makePut,
  makeReadyBench,
  makeSlot,
} from './test_fixtures.js';

/** CI runs a fixed seed; a longer run sets these by environment variables. */
const SEED = Number(process.env['PROPERTY_SEED'] ?? 20261202);
const RUNS = Number(process.env['PROPERTY_RUNS'] ?? 150);

const properties = suite('fold properties');

/** A step that some node takes, from what the state was `lag` steps ago. */
type Step = (bench: FoldBench) => void;

const author = fc.constantFrom('node-1.aaaaaaaa', 'node-2.bbbbbbbb');
const server = fc.constantFrom('r1', 'r2');
const minute = fc.integer({min: 0, max: 6});
const MINUTE_MS = 60_000;

const planStep = fc
  .record({
    author,
    server,
    loadAt: minute,
    minutes: fc.integer({min: 1, max: 40}),
    isStaged: fc.boolean(),
    event: fc.constantFrom('saturday', 'b'),
    isSpare: fc.boolean(),
  })
  .map((choice): Step => bench => {
    const loadAtMs = START_MS + choice.loadAt * MINUTE_MS;
    const held = bench.state.placement.list();
    const slot = makeSlot(`s${bench.appends.length}`, choice.server, {
      loadAtMs,
      untilMs: loadAtMs + choice.minutes * MINUTE_MS,
      stage: choice.isStaged
        ? {fromMs: loadAtMs - MINUTE_MS, untilMs: loadAtMs - 1}
        : null,
      replaces: choice.isSpare ? (held[0]?.slotId ?? null) : null,
    });
    bench.fold(makePlan(bench, [slot], choice.event), choice.author);
  });

const claimStep = fc.record({author, server}).map((choice): Step => bench => {
  bench.fold(makeClaim(bench, choice.server), choice.author);
});

const endStep = fc
  .record({author, index: fc.nat(20)})
  .map((choice): Step => bench => {
    const slots = bench.state.placement.list();
    const slot = slots[choice.index % Math.max(1, slots.length)];
    if (!slot) return;
    bench.fold(
      {type: 'end-slots', slotIds: [slot.slotId], reason: 'moved'},
      choice.author,
    );
  });

const releaseStep = fc
  .record({author, index: fc.nat(20)})
  .map((choice): Step => bench => {
    const slots = bench.state.placement.list();
    const slot = slots[choice.index % Math.max(1, slots.length)];
    if (!slot) return;
    const {backendServerId, slotId} = slot;
    const epoch =
      bench.state.stewardship.findClaim(backendServerId)?.epoch ?? 0;
    bench.fold(
      {
        type: 'release-slots',
        backendServerId,
        epoch,
        slotIds: [slotId],
      },
      choice.author,
    );
  });

const extendStep = fc
  .record({index: fc.nat(20), minutes: minute})
  .map((choice): Step => bench => {
    const slots = bench.state.placement.list();
    const slot = slots[choice.index % Math.max(1, slots.length)];
    if (!slot) return;
    const untilMs = slot.untilMs + choice.minutes * MINUTE_MS;
    bench.fold({type: 'extend-slots', slotIds: [slot.slotId], untilMs});
  });

const eventStep = fc
  .record({minute, replicas: fc.integer({min: 1, max: 3})})
  .map((choice): Step => bench => {
    const version = bench.state.configuration.currentVersion('event', 'b');
    const start = new Date(START_MS + choice.minute * MINUTE_MS);
    const content = makeEvent(start.toISOString(), choice.replicas);
    bench.fold(makePut('event', 'b', content, version));
  });

const replayStep = fc.nat(50).map((index): Step => bench => {
  const data = bench.appends[index % bench.appends.length];
  if (!data) return;
  bench.appends.push(data);
  bench.state.foldAppend(bench.state.nextOffset, data);
});

const garbageStep = fc
  .uint8Array({maxLength: 40})
  .map((data): Step => bench => {
    bench.appends.push(data);
    bench.state.foldAppend(bench.state.nextOffset, data);
  });

const steps = fc.array(
  fc.oneof(
    {weight: 6, arbitrary: planStep},
    {weight: 2, arbitrary: claimStep},
    {weight: 3, arbitrary: endStep},
    {weight: 3, arbitrary: releaseStep},
    {weight: 2, arbitrary: extendStep},
    {weight: 1, arbitrary: eventStep},
    {weight: 2, arbitrary: replayStep},
    {weight: 1, arbitrary: garbageStep},
  ),
  {minLength: 1, maxLength: 40},
);

const fencing = fc.constantFrom('refuses-old' as const, 'ignores' as const);

function runSteps(support: 'refuses-old' | 'ignores', all: Step[]): FoldBench {
  const bench = makeReadyBench(2, {fencing: support});
  bench.fold(makePut('event', 'b', makeEvent('2027-01-01T10:00:00Z')));
  all.forEach(step => step(bench));
  return bench;
}

function check(property: fc.IPropertyWithHooks<unknown>): void {
  fc.assert(property, {seed: SEED, numRuns: RUNS});
}

properties('never plan more memory than a server has', () => {
  check(
    fc.property(fencing, steps, (support, all) => {
      const {placement, stewardship} = runSteps(support, all).state;
      stewardship
        .listBackendServers()
        .forEach(({backendServerId, memoryMib}) => {
          const holds = placement.listHolds(backendServerId);
          placement.listOn(backendServerId).forEach(slot => {
            const peakMib = findPeakMib(holds, holdsFromMs(slot), slot.untilMs);
            assert.ok(
              peakMib <= memoryMib,
              `${peakMib} MiB on ${backendServerId}`,
            );
          });
        });
    }),
  );
});

properties('never hold more replicas than were decided', () => {
  check(
    fc.property(fencing, steps, (support, all) => {
      const {placement, configuration} = runSteps(support, all).state;
      configuration.listEvents().forEach(event => {
        const purpose = {for: 'event' as const, eventId: event.eventId};
        const need = event.needs[0]!;
        const active = placement
          .listFor(purpose)
          .filter(slot => slot.decidedAt > event.revision);
        assert.ok(active.length <= need.replicas + need.maxSurge);
      });
    }),
  );
});

properties('give equal states on every node, checkpoints or not', () => {
  check(
    fc.property(fencing, steps, fc.nat(60), (support, all, cut) => {
      const bench = runSteps(support, all);
      const whole = new AgreedState();
      bench.appends.forEach((data, offset) => whole.foldAppend(offset, data));
      const at = cut % bench.appends.length;
      const early = new AgreedState();
      bench.appends
        .slice(0, at)
        .forEach((data, offset) => early.foldAppend(offset, data));
      const late = AgreedState.fromBytes(early.toBytes());
      bench.appends
        .slice(at)
        .forEach((data, index) => late.foldAppend(at + index, data));
      assert.is(late.digest(), whole.digest());
      assert.is(whole.digest(), bench.state.digest());
    }),
  );
});

// An append answers too late, is sent again and again, and all copies reach
// the log with others in between. None but the first may change anything.
properties('change nothing by copies of what was folded', () => {
  check(
    fc.property(fencing, steps, fc.nat(60), (support, all, index) => {
      const bench = runSteps(support, all);
      const data = bench.appends[index % bench.appends.length]!;
      const before = {
        slots: bench.state.placement.toSnapshot(),
        documents: bench.state.configuration.toSnapshot(),
        servers: bench.state.stewardship.toSnapshot(),
      };
      bench.state.foldAppend(bench.state.nextOffset, data);
      assert.equal(
        {
          slots: bench.state.placement.toSnapshot(),
          documents: bench.state.configuration.toSnapshot(),
          servers: bench.state.stewardship.toSnapshot(),
        },
        before,
      );
    }),
  );
});

properties('survive any bytes', () => {
  check(
    fc.property(fc.uint8Array({maxLength: 200}), data => {
      const state = new AgreedState();
      state.foldAppend(0, data);
      assert.is(state.nextOffset, 1);
    }),
  );
  check(
    fc.property(fc.array(fc.object(), {maxLength: 3}), values => {
      const state = new AgreedState();
      const data = encodeBatch(values as never);
      assert.ok(
        state
          .foldAppend(0, data)
          .every(({outcome}) => outcome.status === 'void'),
      );
    }),
  );
});

properties.run();
