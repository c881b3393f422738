import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LeaseGrants} from './lease_grants.js';
import {type Welcome} from './messages.js';

const test = suite('lease grants of this node');

const HOLDER = {nodeName: 'a', incarnation: 'a.1', address: 'a:1', token: 7};
const WELCOME = {type: 'welcome', incarnation: 'a.1', beatMs: 400} as Welcome;

test("a grant carries the holder's timestamp", () => {
  const clock = new ManualClock();
  const grants = new LeaseGrants(clock);
  const grant = grants.issue(HOLDER, WELCOME);
  assert.is(grant.token, 7);
  assert.is(grant.beatMs, 400);
  assert.is(grants.endsAtMs, clock.monotonicMs() + grant.forMs);
});

test('a shorter grant does not end a longer one', () => {
  const grants = new LeaseGrants(new ManualClock());
  grants.issue(HOLDER, WELCOME, 4_000);
  const endsAtMs = grants.endsAtMs;
  grants.issue(HOLDER, WELCOME);
  assert.is(grants.endsAtMs, endsAtMs);
});

// Guards against two holders within one lease: a holder drops a silent node from
// its roster and then renews its lease without a grant from that node.
test('a node is a grantor only while the holder keeps it in its roster', () => {
  const clock = new ManualClock();
  const grants = new LeaseGrants(clock);
  assert.not(grants.isGrantorOf('a.1'));
  grants.noteReply(HOLDER, clock.monotonicMs());
  assert.ok(grants.isGrantorOf('a.1'));
  assert.not(grants.isGrantorOf('a.2'));
  clock.advance(8_000);
  assert.not(grants.isGrantorOf('a.1'));
});

test.run();
