/** Guards against evidence that depends on how facts reach a node. */
import {ManualClock} from '@mimosatack/clock';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CrashEvidence, type CrashFact} from './crash_evidence.js';

const test = suite('crash evidence');

const RUNS = {numRuns: 300, seed: 11};
const MIN_PROTECTED_CUTS = 3;
const DAY_MS = 24 * 3_600_000;

function makeEvidence(clock = new ManualClock()): CrashEvidence {
  return new CrashEvidence(clock, MIN_PROTECTED_CUTS);
}

function cut(
  fingerprint: string,
  serverLife: string,
  atMs = 0,
  isTry = false,
): CrashFact {
  return {
    ...{kind: 'cut', fingerprint, serverLife, atMs, isTry},
    ...{recentUses: 0, promptIndex: 0},
  };
}

function served(fingerprint: string, atMs: number): CrashFact {
  return {kind: 'served', fingerprint, atMs};
}

/** Sorted, so that the order of arrival does not matter. */
function listCuts(evidence: CrashEvidence): string[] {
  return [...evidence.cutsBySuspect]
    .flatMap(([fingerprint, cuts]) =>
      [...cuts.keys()].map(serverLife => `${fingerprint} ${serverLife}`),
    )
    .sort();
}

const anyFact = fc.oneof(
  fc.record({
    kind: fc.constant('cut' as const),
    fingerprint: fc.constantFrom('f', 'g', 'h'),
    serverLife: fc.constantFrom('a', 'b', 'c', 'd'),
    atMs: fc.integer({min: -50, max: 0}),
    isTry: fc.constant(false),
    recentUses: fc.constant(0),
    promptIndex: fc.constant(0),
  }),
  fc.record({
    kind: fc.constant('served' as const),
    fingerprint: fc.constantFrom('f', 'g', 'h'),
    atMs: fc.integer({min: -50, max: 0}),
  }),
);

/* Guards against counting a crash twice when a network partition heals. */
test('a repeated fact changes nothing', () => {
  fc.assert(
    fc.property(fc.array(anyFact), facts => {
      const evidence = makeEvidence();
      facts.forEach(fact => evidence.add(fact));
      const before = listCuts(evidence);
      const repeated = [...evidence.cutsBySuspect].flatMap(
        ([fingerprint, cuts]) =>
          [...cuts].map(([serverLife, {atMs}]) =>
            cut(fingerprint, serverLife, atMs),
          ),
      );
      assert.equal(
        repeated.map(fact => evidence.add(fact)).some(Boolean),
        false,
      );
      assert.equal(listCuts(evidence), before);
    }),
    RUNS,
  );
});

/* Each cut occurs once: the first report of a cut decides its time. */
test('the order of facts does not matter', () => {
  const once = fc.uniqueArray(anyFact, {
    selector: fact =>
      fact.kind === 'cut'
        ? `${fact.fingerprint} ${fact.serverLife}`
        : fact.fingerprint,
  });
  const orders = once.chain(facts =>
    fc.tuple(
      fc.shuffledSubarray(facts, {minLength: facts.length}),
      fc.shuffledSubarray(facts, {minLength: facts.length}),
    ),
  );
  fc.assert(
    fc.property(orders, ([first, second]) => {
      const one = makeEvidence();
      const other = makeEvidence();
      first.forEach(fact => one.add(fact));
      second.forEach(fact => other.add(fact));
      assert.equal(listCuts(one), listCuts(other));
    }),
    RUNS,
  );
});

test('a success clears earlier cuts, also those reported later', () => {
  const evidence = makeEvidence();
  evidence.add(cut('f', 'a', -9));
  evidence.add(served('f', -5));
  assert.ok(evidence.isEmpty);
  assert.not(evidence.add(cut('f', 'b', -7)));
  assert.ok(evidence.add(cut('f', 'c', -3)));
});

/* Guards against evicting contained requests when many others lose a server. */
test('other requests do not evict a contained one', () => {
  const evidence = makeEvidence();
  ['a', 'b', 'c'].forEach(serverLife => evidence.add(cut('bad', serverLife)));
  Array.from({length: 100_000}, (_, at) =>
    evidence.add(cut(`other-${at}`, 'a')),
  );
  assert.is(evidence.cutsBySuspect.get('bad')?.size, 3);
  assert.ok(
    evidence.cutsBySuspect.size <= 2_000,
    `${evidence.cutsBySuspect.size}`,
  );
  assert.ok(evidence.listSince(0, Infinity).length <= 2_002);
});

/* Guards against an immediate next probe because a probe's cut was dropped. */
test('the newest cuts and those of probes are kept', () => {
  const evidence = makeEvidence();
  Array.from({length: 9}, (_, at) => evidence.add(cut('f', `${at}`, at - 20)));
  assert.ok(evidence.add(cut('f', 'tried', -5, true)));
  assert.not(evidence.add(cut('f', '0', -20)));
  assert.ok(evidence.add(cut('f', 'late', -1)));
  const incarnations = [...(evidence.cutsBySuspect.get('f')?.keys() ?? [])];
  assert.equal(incarnations, ['3', '4', '5', '6', '7', '8', 'tried', 'late']);
});

test('facts expire after a day', () => {
  const clock = new ManualClock();
  const evidence = makeEvidence(clock);
  evidence.add(cut('f', 'a'));
  evidence.add(served('g', 0));
  clock.advance(DAY_MS + 1);
  evidence.expire();
  assert.ok(evidence.isEmpty);
  assert.equal(evidence.listSince(0, 10), []);
  assert.not(evidence.add(cut('f', 'b', 0)));
});

test.run();
