import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type FinishedRequest,
  type MakePick,
  findCapacity,
  makeServers,
  simulate,
} from './simulation_fixture.js';
import {fillOwnDomainFirst, spillInProportion} from './spill_rules_fixture.js';

const test = suite('leaving the failure domain, simulated');

const HOSTS_PER_DOMAIN = 8;
const STEP_AT_MS = 9_000;
const SETTLED_AT_MS = 11_000;
const END_MS = 26_000;
/** Callers of the small domain are served later than others by no more. */
const MAX_LATER_MS = 10;
/** How far the share of a second may be from the mean share. */
const MAX_SWING = 0.25;

const servers = makeServers([0.8, 1.2, 0.8, 1.2, 0.8, 1.2], index =>
  index < 2 ? 'a' : 'b',
);
const capacity = findCapacity(servers);
const capacities = new Map([
  ['a', capacity / 3],
  ['b', (capacity * 2) / 3],
]);

/** Domain `a` has a third of the servers, and from the step on half of the demand. */
function findDemand(domain: string, nowMs: number): number {
  return (domain === 'a' && nowMs < STEP_AT_MS ? 0.2 : 0.375) * capacity;
}

/** By figures that are 2 s old. */
function findShareThatStays(domain: string, nowMs: number): number {
  const atMs = nowMs - 2_000;
  const utilization =
    (findDemand('a', atMs) + findDemand('b', atMs)) / capacity;
  const own = (capacities.get(domain) ?? 0) * utilization;
  return Math.min(1, own / findDemand(domain, atMs));
}

function play(seed: number, makePick?: MakePick) {
  const {finished, utilizations} = simulate({
    ...{servers, seed, durationMs: END_MS, ...(makePick && {makePick})},
    hostDomains: ['a', 'b'].flatMap(domain =>
      Array<string>(HOSTS_PER_DOMAIN).fill(domain),
    ),
    findRate: (domain, nowMs) => findDemand(domain, nowMs) / HOSTS_PER_DOMAIN,
    findSlowdown: () => 1,
  });
  const settled = finished.filter(({sentAtMs}) => sentAtMs >= SETTLED_AT_MS);
  const [a, b] = ['a', 'b'].map(own =>
    settled.filter(({domain}) => domain === own),
  );
  const seconds = Array.from({length: 14}, (_, index) =>
    findLeaving(
      (a ?? []).filter(
        ({sentAtMs}) =>
          Math.floor((sentAtMs - SETTLED_AT_MS) / 1_000) === index,
      ),
    ),
  );
  return {
    laterMs: findMeanMs(a ?? []) - findMeanMs(b ?? []),
    leaving: findLeaving(a ?? []),
    seconds,
    utilizations,
  };
}

function findMeanMs(requests: readonly FinishedRequest[]): number {
  return requests.reduce((sum, {tookMs}) => sum + tookMs, 0) / requests.length;
}

function findLeaving(requests: readonly FinishedRequest[]): number {
  const left = requests.filter(
    ({domain, serverDomain}) => domain !== serverDomain,
  );
  return left.length / requests.length;
}

// Guards against callers who are served worse since their domain has few servers.
test('a small domain is served no worse, and its share does not swing', () => {
  [1, 2, 3].forEach(seed => {
    const {laterMs, leaving, seconds, utilizations} = play(seed);
    assert.ok(laterMs < MAX_LATER_MS, String(laterMs));
    // The other domain has room for 0.78 of the demand of this one.
    assert.ok(leaving < 0.78, String(leaving));
    assert.ok(Math.max(...utilizations) < 0.95, utilizations.join(' '));
    const swings = seconds.map(share => Math.abs(share - leaving));
    assert.ok(Math.max(...swings) < MAX_SWING, seconds.join(' '));
  });
});

// Guards against a choice of the rule by figures that no longer hold.
test('a threshold and proportional shares serve the small domain later', () => {
  const proportional = play(1, spillInProportion(servers, findShareThatStays));
  const threshold = play(1, fillOwnDomainFirst(servers, 0.8));
  const {laterMs, seconds} = play(1);
  assert.ok(proportional.laterMs > laterMs, String(proportional.laterMs));
  assert.ok(findRange(threshold.seconds) > findRange(seconds));
});

function findRange(shares: readonly number[]): number {
  return Math.max(...shares) - Math.min(...shares);
}

test.run();
