/** Properties of the replicated state for any sequence of records. */
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {encodeBatch} from '@mimosatack/records';
import {AgreedState} from './agreed_state.js';
import {findPeakMib} from './placement/memory_profile.js';
import {findHoldStartMs} from './placement/slot.js';
import {
  type StateFixture,
  START_MS,
  makeClaim,
  makeEvent,
  makePlan,
  makePut,
  makeReadyFixture,
  makeSlot,
} from './test_fixtures.js';

/** Fixed by default; longer runs override both in the environment. */
const SEED = Number(process.env['PROPERTY_SEED'] ?? 20261202);
const RUNS = Number(process.env['PROPERTY_RUNS'] ?? 150);

const properties = suite('state properties');

/** Applies a generated record or append to the current state. */
type Step = (fixture: StateFixture) => void;

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
    isReplacement: fc.boolean(),
  })
  .map((choice): Step => fixture => {
    const loadAtMs = START_MS + choice.loadAt * MINUTE_MS;
    const held = fixture.state.placement.list();
    const slot = makeSlot(`s${fixture.appends.length}`, choice.server, {
      loadAtMs,
      untilMs: loadAtMs + choice.minutes * MINUTE_MS,
      stage: choice.isStaged
        ? {fromMs: loadAtMs - MINUTE_MS, untilMs: loadAtMs - 1}
        : null,
      replaces: choice.isReplacement ? (held[0]?.slotId ?? null) : null,
    });
    fixture.apply(makePlan(fixture, [slot], choice.event), choice.author);
  });

const claimStep = fc.record({author, server}).map((choice): Step => fixture => {
  fixture.apply(makeClaim(fixture, choice.server), choice.author);
});

const endStep = fc
  .record({author, index: fc.nat(20)})
  .map((choice): Step => fixture => {
    const slots = fixture.state.placement.list();
    const slot = slots[choice.index % Math.max(1, slots.length)];
    if (!slot) return;
    fixture.apply(
      {type: 'end-slots', slotIds: [slot.slotId], reason: 'moved'},
      choice.author,
    );
  });

const releaseStep = fc
  .record({author, index: fc.nat(20)})
  .map((choice): Step => fixture => {
    const slots = fixture.state.placement.list();
    const slot = slots[choice.index % Math.max(1, slots.length)];
    if (!slot) return;
    const {backendServerId, slotId} = slot;
    const epoch =
      fixture.state.stewardship.findClaim(backendServerId)?.epoch ?? 0;
    fixture.apply(
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
  .map((choice): Step => fixture => {
    const slots = fixture.state.placement.list();
    const slot = slots[choice.index % Math.max(1, slots.length)];
    if (!slot) return;
    const untilMs = slot.untilMs + choice.minutes * MINUTE_MS;
    fixture.apply({type: 'extend-slots', slotIds: [slot.slotId], untilMs});
  });

const eventStep = fc
  .record({minute, replicas: fc.integer({min: 1, max: 3})})
  .map((choice): Step => fixture => {
    const version = fixture.state.configuration.currentVersion('event', 'b');
    const start = new Date(START_MS + choice.minute * MINUTE_MS);
    const content = makeEvent(start.toISOString(), choice.replicas);
    fixture.apply(makePut('event', 'b', content, version));
  });

const replayStep = fc.nat(50).map((index): Step => fixture => {
  const data = fixture.appends[index % fixture.appends.length];
  if (!data) return;
  fixture.appends.push(data);
  fixture.state.foldAppend(fixture.state.nextOffset, data);
});

const randomBytesStep = fc
  .uint8Array({maxLength: 40})
  .map((data): Step => fixture => {
    fixture.appends.push(data);
    fixture.state.foldAppend(fixture.state.nextOffset, data);
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
    {weight: 1, arbitrary: randomBytesStep},
  ),
  {minLength: 1, maxLength: 40},
);

const fencing = fc.constantFrom('refuses-old' as const, 'ignores' as const);

function runSteps(
  support: 'refuses-old' | 'ignores',
  allSteps: Step[],
): StateFixture {
  const fixture = makeReadyFixture(2, {fencing: support});
  fixture.apply(makePut('event', 'b', makeEvent('2027-01-01T10:00:00Z')));
  allSteps.forEach(step => step(fixture));
  return fixture;
}

function check(property: fc.IPropertyWithHooks<unknown>): void {
  fc.assert(property, {seed: SEED, numRuns: RUNS});
}

properties('never reserve more memory than a server has', () => {
  check(
    fc.property(fencing, steps, (support, allSteps) => {
      const {placement, stewardship} = runSteps(support, allSteps).state;
      stewardship
        .listBackendServers()
        .forEach(({backendServerId, memoryMib}) => {
          const holds = placement.listHolds(backendServerId);
          placement.listOnBackendServer(backendServerId).forEach(slot => {
            const peakMib = findPeakMib(
              holds,
              findHoldStartMs(slot),
              slot.untilMs,
            );
            assert.ok(
              peakMib <= memoryMib,
              `${peakMib} MiB on ${backendServerId}`,
            );
          });
        });
    }),
  );
});

properties('never plan more replicas than an event permits', () => {
  check(
    fc.property(fencing, steps, (support, allSteps) => {
      const {placement, configuration} = runSteps(support, allSteps).state;
      configuration.listEvents().forEach(event => {
        const purpose = {for: 'event' as const, eventId: event.eventId};
        const need = event.needs[0]!;
        const active = placement
          .listForPurpose(purpose)
          .filter(slot => slot.decidedAt > event.revision);
        assert.ok(active.length <= need.replicas + need.maxSurge);
      });
    }),
  );
});

properties('give equal states with and without a checkpoint', () => {
  check(
    fc.property(
      fencing,
      steps,
      fc.nat(60),
      (support, allSteps, checkpointAt) => {
        const fixture = runSteps(support, allSteps);
        const uninterrupted = new AgreedState();
        fixture.appends.forEach((data, offset) =>
          uninterrupted.foldAppend(offset, data),
        );
        const at = checkpointAt % fixture.appends.length;
        const beforeCheckpoint = new AgreedState();
        fixture.appends
          .slice(0, at)
          .forEach((data, offset) => beforeCheckpoint.foldAppend(offset, data));
        const afterCheckpoint = AgreedState.fromBytes(
          beforeCheckpoint.toBytes(),
        );
        fixture.appends
          .slice(at)
          .forEach((data, index) =>
            afterCheckpoint.foldAppend(at + index, data),
          );
        assert.is(afterCheckpoint.digest(), uninterrupted.digest());
        assert.is(uninterrupted.digest(), fixture.state.digest());
      },
    ),
  );
});

// Guards against retried appends that take effect more than once.
properties('change nothing when an append is applied again', () => {
  check(
    fc.property(fencing, steps, fc.nat(60), (support, allSteps, index) => {
      const fixture = runSteps(support, allSteps);
      const data = fixture.appends[index % fixture.appends.length]!;
      const before = {
        slots: fixture.state.placement.toSnapshot(),
        documents: fixture.state.configuration.toSnapshot(),
        servers: fixture.state.stewardship.toSnapshot(),
      };
      fixture.state.foldAppend(fixture.state.nextOffset, data);
      assert.equal(
        {
          slots: fixture.state.placement.toSnapshot(),
          documents: fixture.state.configuration.toSnapshot(),
          servers: fixture.state.stewardship.toSnapshot(),
        },
        before,
      );
    }),
  );
});

properties('accept arbitrary bytes without throwing', () => {
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
