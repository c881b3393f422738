import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type LeaseGrant, NodeRoster} from './node_roster.js';

const test = suite('lease grants of other nodes');

const GRANT: LeaseGrant = {token: 7, beatMs: 1_000, forMs: 1_500};

function makeRoster(
  grants: ReadonlyArray<LeaseGrant | null>,
  clock = new ManualClock(),
): NodeRoster {
  const roster = new NodeRoster(clock);
  grants.forEach((promise, index) =>
    roster.note(`10.0.0.${index}:1`, {
      ...{
        nodeName: `entry-${index}`,
        incarnation: `${index}`,
        uptimeMs: 0,
        promise,
      },
      isServing: true,
      reachesServers: true,
    }),
  );
  return roster;
}

const BOTH = ['entry-0', 'entry-1'];

test('the grant that expires first decides', () => {
  const later = {...GRANT, beatMs: 1_200};
  const roster = makeRoster([GRANT, later]);
  assert.is(roster.findGrantEndMs(BOTH, 7, 0), 2_500);
});

test('a missing grant, or one to another holder, prevents renewal', () => {
  assert.is(makeRoster([GRANT]).findGrantEndMs(BOTH, 7, 0), -Infinity);
  assert.is(makeRoster([GRANT, null]).findGrantEndMs(BOTH, 7, 0), -Infinity);
  const other = {...GRANT, token: 6};
  assert.is(makeRoster([GRANT, other]).findGrantEndMs(BOTH, 7, 0), -Infinity);
  assert.is(makeRoster([]).findGrantEndMs([], 7, 0), -Infinity);
});

// Guards against a holder that loses its lease while another node restarts and
// the store is unavailable: the first heartbeat of a process carries no grant.
test('a heartbeat without a grant revokes none', () => {
  const roster = makeRoster([GRANT]);
  roster.note('10.0.0.0:1', {
    ...{nodeName: 'entry-0', incarnation: 'next', uptimeMs: 0, promise: null},
    isServing: false,
    reachesServers: true,
  });
  assert.is(roster.findGrantEndMs(['entry-0'], 7, 0), 2_500);
});

// Guards against a grant that was read after a suspension of the holder, when
// its sender was already free to claim.
test('a grant for a timestamp from before a suspension is ignored', () => {
  const roster = makeRoster([GRANT, GRANT]);
  assert.is(roster.findGrantEndMs(BOTH, 7, 1_000), -Infinity);
  assert.is(roster.findGrantEndMs(BOTH, 7, 999), 2_500);
});

// Guards against nodes of the previous release that close the connection.
test('only nodes that say so get messages about places', () => {
  const roster = makeRoster([null]);
  const status = {nodeName: 'entry-9', incarnation: '9', uptimeMs: 0};
  roster.note('10.0.0.9:1', {
    ...{...status, promise: null, knowsPlaces: true},
    ...{isServing: true, reachesServers: true},
  });
  assert.equal(roster.listPlaceAddresses(), ['10.0.0.9:1']);
});

test.run();
