import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {OriginFleet} from './origin_fleet_fixture.js';

const test = suite('origins of streams');

const BOTH = ['v1', 'v2'];
const MINUTE_MS = 60_000;
const OLD_VIEW_MS = 10_000;

// Guards against messages and refusals on days on which a service has one version.
test('while there is one version nothing is sent and any stream goes on', async () => {
  const fleet = new OriginFleet(8, ['v1']);
  fleet.begin(0, 'r1', 'v1');
  const answers = [await fleet.resume(1, 'r1'), await fleet.resume(2, null)];
  answers.forEach(({origin, source}) => {
    assert.is(origin?.softwareVersion, 'v1');
    assert.is(source, 'only-version');
  });
  assert.is(fleet.messageCount, 0);
});

// Guards against a stream that another host takes up at the wrong version.
test('every host knows where a stream began', async () => {
  const fleet = new OriginFleet(8, BOTH);
  fleet.begin(0, 'r1', 'v2');
  for (const at of fleet.hosts.keys()) {
    assert.is(await fleet.findVersion(at, 'r1'), 'v2');
  }
});

// Guards against a stream of which only the host that began it knows.
test('a stream is known after its host and four others were killed', async () => {
  const fleet = new OriginFleet(8, BOTH);
  fleet.begin(0, 'r1', 'v2');
  [0, 1, 2, 3, 4].forEach(at => fleet.restart(at, BOTH));
  for (const at of fleet.hosts.keys()) {
    assert.is(await fleet.findVersion(at, 'r1'), 'v2');
  }
});

// Guards against a stream that goes on by a guess.
test('a stream that nobody knows does not go on', async () => {
  const fleet = new OriginFleet(8, BOTH);
  fleet.begin(0, 'r1', 'v1');
  fleet.hosts.forEach((_, at) => fleet.restart(at, BOTH));
  const {origin, source} = await fleet.resume(1, 'r1');
  assert.is(origin, null);
  assert.is(source, 'unknown');
  assert.is((await fleet.resume(1, null)).origin, null);
});

// Guards against another team's request that is taken for the one that began a stream.
test('requests of two teams with one id are different streams', async () => {
  const fleet = new OriginFleet(3, BOTH);
  fleet.begin(0, 'r1', 'v1');
  const {origins} = fleet.find(0);
  const stream = {requestId: 'r1', team: 'other'};
  const answer = await origins.find({stream, service: 'writers'});
  assert.is(answer.origin, null);
});

// Guards against streams that began before the first server of another version came.
test('streams of the time before are known once a service becomes mixed', async () => {
  const fleet = new OriginFleet(8, ['v1']);
  fleet.begin(0, 'r1', 'v1');
  fleet.setVersions(BOTH);
  fleet.restart(0, BOTH);
  assert.is(await fleet.findVersion(0, 'r1'), 'v1');
});

// Guards against streams of a version whose last server has just gone.
test('a service is mixed for a minute after its last server of a version', async () => {
  const fleet = new OriginFleet(3, BOTH);
  fleet.clock.advance(MINUTE_MS - 1);
  fleet.setVersions(['v2']);
  assert.is((await fleet.resume(0, 'unknown')).origin, null);
  fleet.clock.advance(1);
  fleet.setVersions(['v2']);
  assert.is(await fleet.findVersion(0, 'unknown'), null);
  fleet.writeRecord();
  assert.is(await fleet.findVersion(0, 'unknown'), 'v2');
});

// Guards against a host that is cut off and does not see the servers of a new version.
test('a host with an old list of servers asks others', async () => {
  const fleet = new OriginFleet(4, ['v1']);
  [1, 2, 3].forEach(at => fleet.setVersionsOf(at, BOTH));
  fleet.setServersAge(0, OLD_VIEW_MS);
  fleet.begin(1, 'r1', 'v2');
  assert.is(await fleet.findVersion(0, 'r1'), 'v2');
  assert.is(await fleet.findVersion(0, 'unknown'), null);
  fleet.setReachable(0, false);
  assert.is(await fleet.findVersion(0, 'not asked before'), null);
});

// Guards against a log that does not tell how old the list was that a host believed.
test('an answer tells the age of the list of servers', async () => {
  const fleet = new OriginFleet(4, ['v1']);
  fleet.setServersAge(0, 1_900);
  assert.is((await fleet.resume(0, 'r1')).serversAgeMs, 1_900);
  fleet.setServersAge(0, Infinity);
  assert.is((await fleet.resume(0, 'r1')).serversAgeMs, null);
  fleet.setServersAge(1, OLD_VIEW_MS);
  assert.is((await fleet.resume(1, 'r1')).serversAgeMs, OLD_VIEW_MS);
  fleet.setVersionsOf(2, BOTH);
  assert.is((await fleet.resume(2, 'r1')).serversAgeMs, null);
});

// Guards against streams that are lost while the store is silent and nothing has changed.
test('hosts with old lists that agree on one version go on', async () => {
  const fleet = new OriginFleet(8, ['v1']);
  fleet.hosts.forEach((_, at) => fleet.setServersAge(at, OLD_VIEW_MS));
  fleet.restart(0, ['v1']);
  fleet.setServersAge(0, OLD_VIEW_MS);
  assert.is(await fleet.findVersion(0, 'unknown'), 'v1');
});

// Guards against a stream that goes on by what this host believed before it asked.
test('a version that comes while others are asked is no longer the only one', async () => {
  const fleet = new OriginFleet(8, ['v1']);
  fleet.setServersAge(0, OLD_VIEW_MS);
  const found = fleet.findVersion(0, 'unknown');
  fleet.setVersionsOf(0, BOTH);
  assert.is(await found, null);
});

// Guards against a host that knows no others and agrees with itself.
test('a host that can ask nobody does not believe an old list', async () => {
  const fleet = new OriginFleet(1, ['v1']);
  fleet.setServersAge(0, OLD_VIEW_MS);
  assert.is(await fleet.findVersion(0, 'unknown'), null);
});

// Guards against hosts that are cut off together and agree on what was before.
test('hosts with old lists do not go on while others do not answer', async () => {
  const fleet = new OriginFleet(8, ['v1']);
  fleet.hosts.forEach((_, at) => fleet.setServersAge(at, OLD_VIEW_MS));
  [5, 6, 7].forEach(at => {
    fleet.setReachable(at, false);
    fleet.setVersionsOf(at, BOTH);
  });
  assert.is(await fleet.findVersion(0, 'unknown'), null);
});

// Guards against streams that are lost while some hosts are away and nothing has changed.
test('a host with an old list believes half of the others if one is current', async () => {
  const fleet = new OriginFleet(8, ['v1']);
  [0, 1, 2, 3].forEach(at => fleet.setServersAge(at, OLD_VIEW_MS));
  [5, 6, 7].forEach(at => fleet.setReachable(at, false));
  assert.is(await fleet.findVersion(0, 'unknown'), 'v1');
});

// Guards against unbounded memory for ids that are never asked for again.
test('streams are forgotten after a minute', () => {
  const fleet = new OriginFleet(2, BOTH);
  fleet.begin(0, 'r1', 'v1');
  fleet.clock.advance(MINUTE_MS);
  fleet.begin(0, 'r2', 'v1');
  assert.is(fleet.find(0).origins.knownStreams, 1);
});

const step = fc.oneof(
  fc.record({
    kind: fc.constant('begin' as const),
    at: fc.nat(5),
    id: fc.nat(9),
  }),
  fc.record({kind: fc.constant('restart' as const), at: fc.nat(5)}),
  fc.record({
    kind: fc.constant('cut' as const),
    at: fc.nat(5),
    isReachable: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('resume' as const),
    at: fc.nat(5),
    id: fc.nat(9),
  }),
);

// Guards against any order of restarts and cuts after which a stream changes its version.
test('no stream goes on at a version that did not begin it', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
      const fleet = new OriginFleet(6, BOTH);
      const begun = new Map<number, string>();
      for (const action of steps) {
        const {kind, at} = action;
        if (kind === 'begin' && !begun.has(action.id)) {
          const version = BOTH[(at + action.id) % 2] ?? 'v1';
          begun.set(action.id, version);
          fleet.begin(at, `r${action.id}`, version);
        }
        if (kind === 'restart') fleet.restart(at, BOTH);
        if (kind === 'cut') fleet.setReachable(at, action.isReachable);
        if (kind === 'resume') {
          const found = await fleet.findVersion(at, `r${action.id}`);
          if (found !== null) assert.is(found, begun.get(action.id));
        }
      }
    }),
    {numRuns: 300, seed: 7},
  );
});

test.run();
