import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RetryFleet} from './retry_fleet_fixture.js';

const test = suite('retries of all hosts under any order of events');

const BOUND = {ratio: 0.2, slack: 40, windowMs: 10_000};
const SETTLED_MS = 12_000;
const HOSTS = 3;
const MAX_HOSTS = 5;
/** The environment variable raises the number of runs for long tests. */
const RUNS = Number(process.env['MIMOSATACK_PROPERTY_RUNS'] ?? 1_000);
const SEED = 20_261_203;

const EVENTS = [
  ...(['none', 'restart', 'cut', 'heal', 'suspend', 'resume'] as const),
  'add-host',
] as const;

interface Step {
  event: (typeof EVENTS)[number];
  /** The hosts that the event befalls. */
  hosts: readonly number[];
  /** Failing requests at each of these hosts, after the event. */
  requestsByHost: readonly number[];
  passedMs: number;
}

const steps = fc.array(
  fc.record<Step>({
    event: fc.constantFrom(...EVENTS),
    hosts: fc.subarray(Array.from({length: MAX_HOSTS}, (_, index) => index)),
    requestsByHost: fc.array(
      fc.oneof(fc.constant(0), fc.nat({max: 8}), fc.nat({max: 150})),
      {minLength: MAX_HOSTS, maxLength: MAX_HOSTS},
    ),
    passedMs: fc.oneof(...[0, 500, 6_000, 20_000].map(max => fc.nat({max}))),
  }),
  {maxLength: 20},
);

function apply(fleet: RetryFleet, event: Step['event'], host: number): void {
  switch (event) {
    case 'none':
    case 'add-host':
      break;
    case 'restart':
      return fleet.restart(host);
    case 'cut':
    case 'heal':
      return fleet.setCut(host, event === 'cut');
    case 'suspend':
    case 'resume':
      return fleet.setSuspended(host, event === 'suspend');
  }
}

function play(fleet: RetryFleet, step: Step): void {
  const {event, hosts, requestsByHost, passedMs} = step;
  if (event === 'add-host' && fleet.hostCount < MAX_HOSTS) fleet.addHost();
  hosts.forEach(host => apply(fleet, event, host));
  requestsByHost.forEach((requests, host) =>
    fleet.serveFailing(host, requests),
  );
  fleet.advance(passedMs);
}

// Guards against any order of starts, cuts, suspensions and bursts at few hosts in
// which the hosts together exceed the bound.
test('no window holds more retries than the bound allows', () => {
  fc.assert(
    fc.property(steps, all => {
      const fleet = new RetryFleet(HOSTS, BOUND);
      fleet.advance(SETTLED_MS);
      all.forEach(step => play(fleet, step));
      assert.is(fleet.findBreach(), undefined);
    }),
    {numRuns: RUNS, seed: SEED},
  );
});

test.run();
