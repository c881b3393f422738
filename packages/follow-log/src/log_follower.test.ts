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

following('tells an author what became of its record', async () => {
  const follower = makeFollower(new MemoryLog());
  await withFollowers([follower], async () => {
    await follower.start(NO_SOURCES);
    const options = {timeoutMs: LONG_MS};
    const first = await follower.submit(makeTeam('a'), options);
    const again = await follower.submit(makeTeam('a'), options);
    assert.is(first.outcome.status, 'valid');
    assert.is(again.outcome.status, 'void');
  });
});

// An operator publishes and the answer of the log service is lost after the
// write. The node appends again, so two copies are in the log; the operator
// is told once that it worked, and the version is 1.
following('settles an append whose answer was lost', async () => {
  const log = new MemoryLog();
  const follower = makeFollower(log);
  await withFollowers([follower], async () => {
    log.lostAnswers = 2;
    await follower.start(NO_SOURCES);
    const folded = await follower.submit(makeTeam('a'), {timeoutMs: LONG_MS});
    assert.is(folded.outcome.status, 'valid');
    const {configuration} = follower.state;
    assert.is(configuration.find('team', 'a')?.version, 1);
  });
});

// The log service is down when an operator publishes. Nothing was sent, so
// the refusal says `not-run`, and it comes at the time limit at the latest.
following('says that a record was not written in an outage', async () => {
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

// An append was begun and no answer came. The write may have taken effect, so
// the refusal must not say that it did not.
following('says that the outcome is unknown once it was sent', async () => {
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

// A node is cut from the log while the others go on. Its read only hangs, so
// it learns from a peer that there is more, and takes it from there.
following('follows a peer that is ahead', async () => {
  const log = new MemoryLog();
  const cut = new MemoryLog();
  const peer = makeFollower(log, 'node-1');
  const follower = makeFollower(cut, 'node-2');
  await withFollowers([peer, follower], async () => {
    await peer.start(NO_SOURCES);
    await peer.submit(makeTeam('a'), {timeoutMs: LONG_MS});
    await follower.start(makePeerSources(peer));
    await peer.submit(makeTeam('b'), {timeoutMs: LONG_MS});
    follower.notePeerOffset(peer.state.nextOffset);
    await waitUntil(() => follower.state.nextOffset === 2);
    assert.is(follower.state.digest(), peer.state.digest());
  });
});

// A node starts while the log service is down. It must not answer from an
// empty state; once a peer has one, it works from that.
following('starts from a peer while the log is down', async () => {
  const log = new MemoryLog();
  const peer = makeFollower(log, 'node-1');
  const starter = makeFollower(log, 'node-2');
  const lonely = makeFollower(log, 'node-3');
  await withFollowers([peer, starter, lonely], async () => {
    await peer.start(NO_SOURCES);
    await peer.submit(makeTeam('a'), {timeoutMs: LONG_MS});
    log.isDown = true;
    await lonely.start(NO_SOURCES);
    await starter.start(makePeerSources(peer));
    assert.is(lonely.status.hasState, false);
    assert.is(starter.status.hasState, true);
    assert.ok(starter.state.configuration.find('team', 'a'));
  });
});

// The log service has dropped the records that a node still needs. It starts
// again from the newest checkpoint and reads on from there.
following('goes on from a checkpoint when records were trimmed', async () => {
  const log = new MemoryLog();
  const checkpoints = new CheckpointStore(new MemoryLog(), 'checkpoints');
  const writer = makeFollower(log, 'node-1');
  const late = makeFollower(log, 'node-2');
  await withFollowers([writer, late], async () => {
    await writer.start(NO_SOURCES);
    await writer.submit(makeTeam('a'), {timeoutMs: LONG_MS});
    await checkpoints.write(writer.state);
    await writer.submit(makeTeam('b'), {timeoutMs: LONG_MS});
    log.firstOffset = 1;
    const states = [{pullState: () => checkpoints.readNewest()}];
    await late.start({...NO_SOURCES, states});
    await waitUntil(() => late.state.nextOffset === 2);
    assert.is(late.state.digest(), writer.state.digest());
  });
});

following.run();
