import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LimitFleet} from './limit_fleet_fixture.js';

const test = suite('a limit that all hosts keep together');

const HOST_COUNTS = [3, 9, 60];
const LIMITS = [1, 20];
/** The usual load of a host, and a tenth of it. */
const LOADS = [10, 1];
const SEED = 20_261_203;
const RUNS = Number(process.env['MIMOSATACK_PROPERTY_RUNS'] ?? 100);

interface Scene {
  fleet: LimitFleet;
  limit: number;
  load: number;
}

/** Plays a scenario at each size, limit and load. */
function checkAllSizes(play: (scene: Scene) => void): void {
  HOST_COUNTS.forEach(hostCount =>
    LIMITS.forEach(limit =>
      LOADS.forEach(load => {
        const fleet = new LimitFleet(hostCount);
        fleet.nameLimit(limit);
        fleet.send(2_000, load);
        play({fleet, limit, load});
        checkBound(fleet, JSON.stringify({hostCount, limit, load}));
      }),
    ),
  );
}

function checkBound(fleet: LimitFleet, scene: string): void {
  const most = fleet.countMostInWindow();
  const {maxInWindow} = fleet;
  assert.ok(most <= maxInWindow, `${most} of ${maxInWindow} at ${scene}`);
}

test('a limit is used up to what hosts ask for', () => {
  checkAllSizes(({fleet, limit, load}) => {
    fleet.send(2_000, load);
    const before = fleet.sentCount;
    fleet.send(10_000, load);
    const perSecond = (fleet.sentCount - before) / 10;
    const asked = Math.min(limit, load * fleet.hostCount);
    assert.ok(
      perSecond >= 0.8 * asked,
      `${perSecond} of ${asked} at ${fleet.hostCount} hosts, load ${load}`,
    );
  });
});

// Guards against processes that each begin with a limit of their own.
test('hosts that all restart twice in a window keep the limit', () => {
  checkAllSizes(({fleet, load}) => {
    [1_500, 1_500].forEach(pauseMs => {
      for (let index = 0; index < fleet.hostCount; index += 1) {
        fleet.restart(index);
      }
      fleet.send(700, load);
      fleet.setHolder(1);
      fleet.send(pauseMs, load);
    });
    fleet.send(8_000, load);
  });
});

// Guards against a new holder that spends again what the one before has spent.
test('a holder that is lost or replaced keeps the limit', () => {
  checkAllSizes(({fleet, load}) => {
    [1, 2, 0].forEach(next => {
      fleet.setHolder(null);
      fleet.send(1_500, load);
      fleet.setHolder(next);
      fleet.send(1_000, load);
    });
  });
});

// Guards against a host that spends the limit beside the others.
test('a host that is suspended and wakes, or sees no other, keeps the limit', () => {
  checkAllSizes(({fleet, load}) => {
    fleet.setSuspended(2, true);
    fleet.setCut(1, true);
    fleet.send(8_000, load);
    fleet.setSuspended(2, false);
    fleet.setCut(1, false);
    fleet.send(6_000, load);
  });
});

// Guards against hosts that stay limited after the server has lifted its limit.
test('a limit that is lifted binds no host 5 s later', () => {
  checkAllSizes(({fleet, limit, load}) => {
    fleet.nameLimit(null);
    fleet.send(5_000, load);
    const before = fleet.sentCount;
    fleet.send(2_000, load);
    assert.is(fleet.sentCount - before, 2 * load * fleet.hostCount);
    fleet.nameLimit(limit);
  });
});

const EVENTS = ['none', 'restart', 'suspend', 'resume', 'holder'] as const;

const steps = fc.array(
  fc.record({
    event: fc.constantFrom(...EVENTS),
    host: fc.nat({max: 4}),
    load: fc.constantFrom(0, 1, 10),
    durationMs: fc.nat({max: 60}).map(count => 50 * count),
  }),
  {maxLength: 15},
);

// Guards against any order of restarts, suspensions and new holders.
test('no window holds more requests than the limit allows', () => {
  fc.assert(
    fc.property(steps, fc.constantFrom(0, 0.5, 1.1, 7, 40), (all, limit) => {
      const fleet = new LimitFleet(5);
      fleet.nameLimit(limit);
      fleet.send(3_000, 2);
      all.forEach(({event, host, load, durationMs}) => {
        if (event === 'restart') fleet.restart(host);
        if (event === 'suspend') fleet.setSuspended(host, true);
        if (event === 'resume') fleet.setSuspended(host, false);
        if (event === 'holder') fleet.setHolder(host);
        fleet.send(durationMs, load);
      });
      checkBound(fleet, String(limit));
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

test.run();
