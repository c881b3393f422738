import {ManualClock} from '@mimosatack/clock';
import {flushPendingCallbacks} from '@mimosatack/fakes';
import {SeededRandom} from '@mimosatack/random';
import {type ServingConfiguration} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ConfigurationFollower} from './configuration_follower.js';
import {type OutageKind, OutageTopic} from './outage_fixture.js';

const test = suite('reads after an outage of the store');

const KEY = 'config';
/** The platform's bound on the time between the acknowledgement and the effect. */
const APPLY_MS = 2_000;
const VERSIONS_AFTER_OUTAGE = 5;
const VERSION_INTERVAL_MS = 75;
const STEP_MS = 25;
const SEEDS = Array.from({length: 40}, (_, index) => index + 1);

function decode(value: Uint8Array): ServingConfiguration {
  const version = Number(Buffer.from(value).toString());
  const limits = {
    ...{maxHeaderBytes: 1, maxBodyBytes: 1},
    ...{headerTimeoutMs: 1, idleTimeoutMs: 1},
  };
  return {version, routes: [], services: [], teams: null, limits};
}

interface NodeTerms {
  seed: number;
  kind: OutageKind;
  isReader: boolean;
}

/**
 * The longest time from the write of a version to its effect at a node that hears from no
 * other one.
 */
async function findSlowestMs({
  seed,
  kind,
  isReader,
}: NodeTerms): Promise<number> {
  const random = new SeededRandom(seed);
  const clock = new ManualClock();
  const topic = new OutageTopic(clock);
  const appliedAtMs = new Map<number, number>();
  topic.put(KEY, '1');
  const follower = new ConfigurationFollower({
    ...{clock, random},
    platform: {
      ...{configurationKey: KEY, configurationTopic: topic},
      decodeConfiguration: decode,
    },
    isReader: () => isReader,
    findRank: () => seed % 8,
    revokeMs: () => null,
    applyMs: () => 2_000,
    onConfiguration: ({version}) =>
      appliedAtMs.set(version, clock.monotonicMs()),
    onLeftOut: () => assert.unreachable(),
    onLost: () => undefined,
    onRegained: () => undefined,
  });
  const pass = async (ms: number) => {
    const endMs = clock.monotonicMs() + ms;
    while (clock.monotonicMs() < endMs) {
      clock.advance(Math.min(STEP_MS, endMs - clock.monotonicMs()));
      await flushPendingCallbacks();
    }
  };
  follower.start();
  await pass(random.nextInt(2_000, 4_000));
  topic.beginOutage(kind);
  await pass(random.nextInt(4_000, 10_000));
  topic.endOutage();
  const writtenAtMs: number[] = [];
  for (let index = 0; index < VERSIONS_AFTER_OUTAGE; index += 1) {
    writtenAtMs.push(clock.monotonicMs());
    topic.put(KEY, String(index + 2));
    await pass(VERSION_INTERVAL_MS);
  }
  await pass(6_000);
  follower.stop();
  const versions = [...appliedAtMs.keys()];
  return Math.max(
    ...writtenAtMs.map((atMs, index) => {
      const first = versions.find(version => version >= index + 2);
      return (appliedAtMs.get(first ?? 0) ?? Infinity) - atMs;
    }),
  );
}

async function findSlowestOfAllMs(
  kind: OutageKind,
  isReader: boolean,
): Promise<number> {
  const delaysMs = await Promise.all(
    SEEDS.map(seed => findSlowestMs({seed, kind, isReader})),
  );
  return Math.max(...delaysMs);
}

// Guards against a retry delay that outlasts the bound when the store is back.
test('a store that refused calls: the slowest node has each version in time', async () => {
  const slowestMs = await findSlowestOfAllMs('busy', false);
  assert.ok(slowestMs <= APPLY_MS, `${slowestMs} ms`);
});

// Guards against a read from before the store's return that is waited for.
test('a store that was silent: the slowest node has each version in time', async () => {
  const slowestMs = await findSlowestOfAllMs('silent', false);
  assert.ok(slowestMs <= APPLY_MS, `${slowestMs} ms`);
});

// Guards against the same at the node that reads for the others.
test('a store that was silent: the reader has each version in time', async () => {
  const slowestMs = await findSlowestOfAllMs('silent', true);
  assert.ok(slowestMs <= APPLY_MS, `${slowestMs} ms`);
});

test.run();
