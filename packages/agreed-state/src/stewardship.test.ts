import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {AgreedState} from './agreed_state.js';
import {
  type FoldBench,
  makeClaim,
  makePlan,
  makeReadyBench,
  makeServer,
  makeSlot,
  verdictOf,
} from './test_fixtures.js';

const OLD = 'node-1.aaaaaaaa';
const NEW = 'node-2.bbbbbbbb';

const stewardship = suite('stewardship');

function makeTakenOverBench(fencing: 'refuses-old' | 'ignores'): FoldBench {
  const bench = makeReadyBench(1, {fencing});
  bench.fold(makeClaim(bench, 'r1'), OLD);
  bench.fold(makePlan(bench, [makeSlot('s1', 'r1')]));
  bench.fold(makeClaim(bench, 'r1'), NEW);
  bench.fold({type: 'end-slots', slotIds: ['s1'], reason: 'event-changed'});
  return bench;
}

function release(bench: FoldBench): string {
  const epoch = bench.state.stewardship.findClaim('r1')?.epoch ?? 0;
  const body = {
    type: 'release-slots' as const,
    backendServerId: 'r1',
    epoch,
    slotIds: ['s1'],
  };
  return verdictOf(bench.fold(body, NEW));
}

stewardship('takes only the first of two claims', () => {
  const bench = makeReadyBench();
  const claim = makeClaim(bench, 'r1');
  assert.is(verdictOf(bench.fold(claim, OLD)), 'valid');
  assert.is(verdictOf(bench.fold(claim, NEW)), 'stale-epoch');
  assert.is(bench.state.stewardship.findClaim('r1')?.holder, OLD);
});

stewardship('gives each claim a higher epoch', () => {
  const bench = makeReadyBench();
  const epochs = [OLD, NEW, OLD].map(author => {
    bench.fold(makeClaim(bench, 'r1'), author);
    return bench.state.stewardship.findClaim('r1')!.epoch;
  });
  assert.ok(epochs[0]! < epochs[1]! && epochs[1]! < epochs[2]!);
});

// A node is frozen with a load order in hand, another takes over and the event
// is changed. The engine ignores fencing numbers, so the thawed node's order
// still loads the old slot: its memory must stay counted until then.
stewardship('keeps slots of a former holder in doubt', () => {
  const bench = makeTakenOverBench('ignores');
  assert.is(release(bench), 'in-doubt');
  const holds = bench.state.placement.listHolds('r1');
  assert.equal(
    holds.map(hold => hold.untilMs),
    [Infinity],
  );
});

stewardship('has no doubt where the engine refuses old orders', () => {
  const bench = makeTakenOverBench('refuses-old');
  assert.is(release(bench), 'valid');
});

stewardship('has no doubt after the holder gave up by itself', () => {
  const bench = makeReadyBench(1, {fencing: 'ignores'});
  bench.fold(makeClaim(bench, 'r1'), OLD);
  const {epoch} = bench.state.stewardship.findClaim('r1')!;
  bench.fold(makePlan(bench, [makeSlot('s1', 'r1')]));
  bench.fold({type: 'yield-steward', backendServerId: 'r1', epoch}, OLD);
  bench.fold(makeClaim(bench, 'r1'), NEW);
  assert.is(bench.state.stewardship.listDoubts('r1').length, 0);
});

// Only the former holder knows that it has nothing on the way. Another node
// that says so for it, from an old view, must not end the doubt.
stewardship('lets only the former holder acknowledge', () => {
  const bench = makeTakenOverBench('ignores');
  const [doubt] = bench.state.stewardship.listDoubts('r1');
  const clear = {
    type: 'clear-doubt' as const,
    backendServerId: 'r1',
    epoch: doubt!.epoch,
    evidence: 'acknowledged' as const,
  };
  assert.is(verdictOf(bench.fold(clear, NEW)), 'stale-epoch');
  assert.is(release(bench), 'in-doubt');
  assert.is(verdictOf(bench.fold(clear, OLD)), 'valid');
  assert.is(release(bench), 'valid');
});

// Two takeovers in a row leave two former holders, each of which may still
// have an order on the way. Clearing one doubt must not clear the other.
stewardship('keeps the doubts of several former holders apart', () => {
  const bench = makeReadyBench(1, {fencing: 'ignores'});
  bench.fold(makeClaim(bench, 'r1'), OLD);
  bench.fold(makePlan(bench, [makeSlot('s1', 'r1')]));
  bench.fold(makeClaim(bench, 'r1'), NEW);
  bench.fold(makeClaim(bench, 'r1'), 'node-3.cccccccc');
  const doubts = bench.state.stewardship.listDoubts('r1');
  assert.equal(
    doubts.map(doubt => doubt.formerHolder),
    [OLD, NEW],
  );
  bench.fold({
    type: 'clear-doubt',
    backendServerId: 'r1',
    epoch: doubts[0]!.epoch,
    evidence: 'host-gone',
  });
  assert.ok(bench.state.stewardship.isInDoubt('r1', 's1'));
});

// The old holder thaws and says that it releases a slot, under its old epoch.
// The slot is the new holder's to release.
stewardship('refuses a release under an old epoch', () => {
  const bench = makeReadyBench();
  bench.fold(makeClaim(bench, 'r1'), OLD);
  const {epoch} = bench.state.stewardship.findClaim('r1')!;
  bench.fold(makePlan(bench, [makeSlot('s1', 'r1')]));
  bench.fold({type: 'end-slots', slotIds: ['s1'], reason: 'moved'});
  bench.fold(makeClaim(bench, 'r1'), NEW);
  const folded = bench.fold({
    type: 'release-slots',
    backendServerId: 'r1',
    epoch,
    slotIds: ['s1'],
  });
  assert.is(verdictOf(folded), 'stale-epoch');
});

// An operator drains a runner, and the host list then reports a new address.
// If the new registration forgot the drain, work would come back unasked.
stewardship('keeps a drain across registrations and checkpoints', () => {
  const bench = makeReadyBench();
  const drain = (isDraining: boolean, backendServerId = 'r1') =>
    verdictOf(
      bench.fold({type: 'drain-backend-server', backendServerId, isDraining}),
    );
  assert.is(drain(true), 'valid');
  assert.is(drain(true), 'version-conflict');
  assert.is(drain(true, 'r9'), 'unknown-reference');
  bench.fold(makeServer('r1', {baseUrl: 'http://10.0.0.2:8000'}));
  const restored = AgreedState.fromBytes(bench.state.toBytes());
  assert.ok(restored.stewardship.isDraining('r1'));
  assert.not(restored.stewardship.isDraining('r2'));
  assert.is(drain(false), 'valid');
  assert.not(bench.state.stewardship.isDraining('r1'));
});

stewardship.run();
