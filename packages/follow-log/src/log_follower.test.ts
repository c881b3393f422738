import {CheckpointStore} from '@mimosatack/checkpoints';
import {type TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type LogFollower} from './log_follower.js';
import {
  MemoryLog,
  NO_SOURCES,
  makeFollower,
  makePeerSources,
  makeTeam,
  waitUntil,
} from './test_fixtures.js';

const LONG_MS = 60_000;

const following = suite('following the log');

async function withFollowers(
  followers: LogFollower[],
  run: () => Promise<void>,
): Promise<void> {
  try {
    await run();
  } finally {
    await Promise.all(followers.map(follower => follower.stop()));
  }
}

following('resolves a submission with the outcome of its record', async () => {
  const follower = makeFollower(new MemoryLog());
  await withFollowers([follower], async () => {
    await follower.start(NO_SOURCES);
    const options = {timeoutMs: LONG_MS};
    const first = await follower.submit(makeTeam('a'), options);
    const second = await follower.submit(makeTeam('a'), options);
    assert.is(first.outcome.status, 'valid');
    assert.is(second.outcome.status, 'void');
  });
});

// Guards against a change applied twice when the response to an append is lost.
following('settles an append whose response was lost', async () => {
  const log = new MemoryLog();
  const follower = makeFollower(log);
  await withFollowers([follower], async () => {
    log.lostReplies = 2;
    await follower.start(NO_SOURCES);
    const folded = await follower.submit(makeTeam('a'), {timeoutMs: LONG_MS});
    assert.is(folded.outcome.status, 'valid');
    const {configuration} = follower.state;
    assert.is(configuration.find('team', 'a')?.version, 1);
  });
});

// Guards against an unknown outcome for a record that was never sent.
following('rejects an unsent record with `not-run` in an outage', async () => {
  const log = new MemoryLog();
  const follower = makeFollower(log);
  await withFollowers([follower], async () => {
    await follower.start(NO_SOURCES);
    log.isDown = true;
    const blocked = follower.submit(makeTeam('a'), {timeoutMs: LONG_MS});
    blocked.catch(() => undefined);
    const error = await follower
      .submit(makeTeam('b'), {timeoutMs: 20})
      .catch((thrown: TypedError) => thrown);
    assert.is((error as TypedError).kind, 'log-unavailable');
    assert.is((error as TypedError).run, 'not-run');
  });
});

// Guards against `not-run` for a sent record, which may still take effect.
following('rejects a sent record with an unknown outcome', async () => {
  const log = new MemoryLog();
  const follower = makeFollower(log);
  await withFollowers([follower], async () => {
    await follower.start(NO_SOURCES);
    log.isDown = true;
    const error = await follower
      .submit(makeTeam('a'), {timeoutMs: 20})
      .catch((thrown: TypedError) => thrown);
    assert.is((error as TypedError).run, 'unknown');
  });
});

// Guards against a node falling behind while its read of the log hangs.
following('follows a peer that is ahead', async () => {
  const log = new MemoryLog();
  const stalledLog = new MemoryLog();
  const peer = makeFollower(log, 'node-1');
  const follower = makeFollower(stalledLog, 'node-2');
  await withFollowers([peer, follower], async () => {
    await peer.start(NO_SOURCES);
    await peer.submit(makeTeam('a'), {timeoutMs: LONG_MS});
    await follower.start(makePeerSources(peer));
    await peer.submit(makeTeam('b'), {timeoutMs: LONG_MS});
    follower.handlePeerOffset(peer.state.nextOffset);
    await waitUntil(() => follower.state.nextOffset === 2);
    assert.is(follower.state.digest(), peer.state.digest());
  });
});

// Guards against a node that serves from an empty state when it starts during
// a log outage.
following('starts from a peer while the log is down', async () => {
  const log = new MemoryLog();
  const peer = makeFollower(log, 'node-1');
  const withPeer = makeFollower(log, 'node-2');
  const withoutPeers = makeFollower(log, 'node-3');
  await withFollowers([peer, withPeer, withoutPeers], async () => {
    await peer.start(NO_SOURCES);
    await peer.submit(makeTeam('a'), {timeoutMs: LONG_MS});
    log.isDown = true;
    await withoutPeers.start(NO_SOURCES);
    await withPeer.start(makePeerSources(peer));
    assert.is(withoutPeers.status.hasState, false);
    assert.is(withPeer.status.hasState, true);
    assert.ok(withPeer.state.configuration.find('team', 'a'));
  });
});

// Guards against a node that gets stuck when the records it needs are trimmed.
following('continues from a checkpoint when records were trimmed', async () => {
  const log = new MemoryLog();
  const checkpoints = new CheckpointStore(new MemoryLog(), 'checkpoints');
  const writer = makeFollower(log, 'node-1');
  const lateFollower = makeFollower(log, 'node-2');
  await withFollowers([writer, lateFollower], async () => {
    await writer.start(NO_SOURCES);
    await writer.submit(makeTeam('a'), {timeoutMs: LONG_MS});
    await checkpoints.write(writer.state);
    await writer.submit(makeTeam('b'), {timeoutMs: LONG_MS});
    log.firstOffset = 1;
    const states = [{pullState: () => checkpoints.readNewest()}];
    await lateFollower.start({...NO_SOURCES, states});
    await waitUntil(() => lateFollower.state.nextOffset === 2);
    assert.is(lateFollower.state.digest(), writer.state.digest());
  });
});

following.run();
