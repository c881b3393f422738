import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {AgreedState} from './agreed_state.js';
import {
  type StateFixture,
  makeClaim,
  makePlan,
  makeReadyFixture,
  makeServer,
  makeSlot,
  outcomeCode,
} from './test_fixtures.js';

const FORMER_HOLDER = 'node-1.aaaaaaaa';
const NEW_HOLDER = 'node-2.bbbbbbbb';

const stewardship = suite('stewardship');

function makeTakenOverFixture(
  fencing: 'refuses-old' | 'ignores',
): StateFixture {
  const fixture = makeReadyFixture(1, {fencing});
  fixture.apply(makeClaim(fixture, 'r1'), FORMER_HOLDER);
  fixture.apply(makePlan(fixture, [makeSlot('s1', 'r1')]));
  fixture.apply(makeClaim(fixture, 'r1'), NEW_HOLDER);
  fixture.apply({type: 'end-slots', slotIds: ['s1'], reason: 'event-changed'});
  return fixture;
}

function release(fixture: StateFixture): string {
  const epoch = fixture.state.stewardship.findClaim('r1')?.epoch ?? 0;
  const body = {
    type: 'release-slots' as const,
    backendServerId: 'r1',
    epoch,
    slotIds: ['s1'],
  };
  return outcomeCode(fixture.apply(body, NEW_HOLDER));
}

stewardship('accepts only the first of two concurrent claims', () => {
  const fixture = makeReadyFixture();
  const claim = makeClaim(fixture, 'r1');
  assert.is(outcomeCode(fixture.apply(claim, FORMER_HOLDER)), 'valid');
  assert.is(outcomeCode(fixture.apply(claim, NEW_HOLDER)), 'stale-epoch');
  assert.is(fixture.state.stewardship.findClaim('r1')?.holder, FORMER_HOLDER);
});

stewardship('gives each claim a higher epoch', () => {
  const fixture = makeReadyFixture();
  const epochs = [FORMER_HOLDER, NEW_HOLDER, FORMER_HOLDER].map(author => {
    fixture.apply(makeClaim(fixture, 'r1'), author);
    return fixture.state.stewardship.findClaim('r1')!.epoch;
  });
  assert.ok(epochs[0]! < epochs[1]! && epochs[1]! < epochs[2]!);
});

// Guards against memory that is planned twice: a paused former holder may still
// load its slot on an engine that ignores fencing tokens.
stewardship('keeps slots of a former holder in doubt', () => {
  const fixture = makeTakenOverFixture('ignores');
  assert.is(release(fixture), 'in-doubt');
  const holds = fixture.state.placement.listHolds('r1');
  assert.equal(
    holds.map(hold => hold.untilMs),
    [Infinity],
  );
});

stewardship('records no doubt if the engine rejects old fencing tokens', () => {
  const fixture = makeTakenOverFixture('refuses-old');
  assert.is(release(fixture), 'valid');
});

stewardship('records no doubt after the holder yielded', () => {
  const fixture = makeReadyFixture(1, {fencing: 'ignores'});
  fixture.apply(makeClaim(fixture, 'r1'), FORMER_HOLDER);
  const {epoch} = fixture.state.stewardship.findClaim('r1')!;
  fixture.apply(makePlan(fixture, [makeSlot('s1', 'r1')]));
  fixture.apply(
    {type: 'yield-steward', backendServerId: 'r1', epoch},
    FORMER_HOLDER,
  );
  fixture.apply(makeClaim(fixture, 'r1'), NEW_HOLDER);
  assert.is(fixture.state.stewardship.listInDoubtClaims('r1').length, 0);
});

// Guards against a doubt that another node clears although the former holder
// may still have orders in flight.
stewardship('lets only the former holder acknowledge', () => {
  const fixture = makeTakenOverFixture('ignores');
  const [doubt] = fixture.state.stewardship.listInDoubtClaims('r1');
  const clear = {
    type: 'clear-doubt' as const,
    backendServerId: 'r1',
    epoch: doubt!.epoch,
    evidence: 'acknowledged' as const,
  };
  assert.is(outcomeCode(fixture.apply(clear, NEW_HOLDER)), 'stale-epoch');
  assert.is(release(fixture), 'in-doubt');
  assert.is(outcomeCode(fixture.apply(clear, FORMER_HOLDER)), 'valid');
  assert.is(release(fixture), 'valid');
});

// Guards against clearing the doubts of all former holders after two takeovers.
stewardship('keeps the doubts of several former holders separate', () => {
  const fixture = makeReadyFixture(1, {fencing: 'ignores'});
  fixture.apply(makeClaim(fixture, 'r1'), FORMER_HOLDER);
  fixture.apply(makePlan(fixture, [makeSlot('s1', 'r1')]));
  fixture.apply(makeClaim(fixture, 'r1'), NEW_HOLDER);
  fixture.apply(makeClaim(fixture, 'r1'), 'node-3.cccccccc');
  const doubts = fixture.state.stewardship.listInDoubtClaims('r1');
  assert.equal(
    doubts.map(doubt => doubt.formerHolder),
    [FORMER_HOLDER, NEW_HOLDER],
  );
  fixture.apply({
    type: 'clear-doubt',
    backendServerId: 'r1',
    epoch: doubts[0]!.epoch,
    evidence: 'host-gone',
  });
  assert.ok(fixture.state.stewardship.isInDoubt('r1', 's1'));
});

// Guards against a former holder that resumes and releases a slot which the new
// holder is responsible for.
stewardship('refuses a release under an old epoch', () => {
  const fixture = makeReadyFixture();
  fixture.apply(makeClaim(fixture, 'r1'), FORMER_HOLDER);
  const {epoch} = fixture.state.stewardship.findClaim('r1')!;
  fixture.apply(makePlan(fixture, [makeSlot('s1', 'r1')]));
  fixture.apply({type: 'end-slots', slotIds: ['s1'], reason: 'moved'});
  fixture.apply(makeClaim(fixture, 'r1'), NEW_HOLDER);
  const applied = fixture.apply({
    type: 'release-slots',
    backendServerId: 'r1',
    epoch,
    slotIds: ['s1'],
  });
  assert.is(outcomeCode(applied), 'stale-epoch');
});

// Guards against a changed address that ends a drain, so that the backend server
// receives work again.
stewardship('keeps a drain across registrations and checkpoints', () => {
  const fixture = makeReadyFixture();
  const drain = (isDraining: boolean, backendServerId = 'r1') =>
    outcomeCode(
      fixture.apply({
        type: 'drain-backend-server',
        backendServerId,
        isDraining,
      }),
    );
  assert.is(drain(true), 'valid');
  assert.is(drain(true), 'version-conflict');
  assert.is(drain(true, 'r9'), 'unknown-reference');
  fixture.apply(makeServer('r1', {baseUrl: 'http://10.0.0.2:8000'}));
  const restored = AgreedState.fromBytes(fixture.state.toBytes());
  assert.ok(restored.stewardship.isDraining('r1'));
  assert.not(restored.stewardship.isDraining('r2'));
  assert.is(drain(false), 'valid');
  assert.not(fixture.state.stewardship.isDraining('r1'));
});

stewardship.run();
