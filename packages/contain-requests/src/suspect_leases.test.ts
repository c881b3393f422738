import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SuspectLeases} from './suspect_leases.js';

const test = suite('leases on suspected requests');

const TERMS = {maxWaitMs: 1_000, maxHoldMs: 5_000};

function createFixture() {
  const clock = new ManualClock();
  const leases = new SuspectLeases(clock);
  const decisions: string[] = [];
  const acquire = (fingerprint: string, runId: string) => {
    void leases
      .acquire(fingerprint, runId, TERMS)
      .then(isGranted =>
        decisions.push(`${runId} ${isGranted ? 'granted' : 'denied'}`),
      );
  };
  /** Lets the promises of decisions settle, and empties the list. */
  const readDecisions = async () => {
    await new Promise(resolve => setImmediate(resolve));
    return decisions.splice(0);
  };
  return {clock, leases, acquire, readDecisions};
}

// Guards against two copies of a crashing request under way at once.
test('one run of a request holds the lease, the next follows in order', async () => {
  const {leases, acquire, readDecisions} = createFixture();
  ['a', 'b', 'c'].forEach(runId => acquire('bad', runId));
  acquire('other', 'd');
  assert.equal(await readDecisions(), ['a granted', 'd granted']);
  leases.release('bad', 'a');
  assert.equal(await readDecisions(), ['b granted']);
  leases.release('bad', 'b');
  assert.equal(await readDecisions(), ['c granted']);
});

test('a run that waits too long is denied, and its turn is skipped', async () => {
  const {clock, leases, acquire, readDecisions} = createFixture();
  acquire('bad', 'a');
  acquire('bad', 'b');
  clock.advance(TERMS.maxWaitMs);
  acquire('bad', 'c');
  assert.equal(await readDecisions(), ['a granted', 'b denied']);
  leases.release('bad', 'a');
  assert.equal(await readDecisions(), ['c granted']);
});

// Guards against a request that nobody may send any more since a node was killed.
test('a lease ends by itself', async () => {
  const {clock, acquire, readDecisions} = createFixture();
  acquire('bad', 'a');
  clock.advance(TERMS.maxHoldMs - 1);
  acquire('bad', 'b');
  clock.advance(1);
  assert.equal(await readDecisions(), ['a granted', 'b granted']);
});

test('a run that asks again keeps its lease', async () => {
  const {clock, acquire, readDecisions} = createFixture();
  acquire('bad', 'a');
  clock.advance(TERMS.maxHoldMs - 500);
  acquire('bad', 'a');
  acquire('bad', 'b');
  clock.advance(600);
  assert.equal(await readDecisions(), ['a granted', 'a granted']);
});

// Guards against harmless requests that are still sent one by one once one was served.
test('all that wait can be granted or denied at once', async () => {
  const {leases, acquire, readDecisions} = createFixture();
  ['a', 'b', 'c'].forEach(runId => acquire('bad', runId));
  leases.settleAll('bad', true);
  assert.equal(await readDecisions(), ['a granted', 'b granted', 'c granted']);
  ['d', 'e'].forEach(runId => acquire('bad', runId));
  leases.settleAll('bad', false);
  assert.equal(await readDecisions(), ['d granted', 'e denied']);
});

test('a run that no longer waits gets no lease', async () => {
  const {leases, acquire, readDecisions} = createFixture();
  ['a', 'b', 'c'].forEach(runId => acquire('bad', runId));
  leases.release('bad', 'b');
  leases.release('bad', 'a');
  assert.equal(await readDecisions(), ['a granted', 'b denied', 'c granted']);
});

test.run();
