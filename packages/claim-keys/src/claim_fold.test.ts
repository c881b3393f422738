import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ClaimFold, type FoldVerdict} from './claim_fold.js';
import {type ClaimStreamRecord, encodeClaimBatch} from './claim_records.js';

const SECOND_MS = 1_000;
const NOW_MS = 1_000_000 * SECOND_MS;
const OPTIONS = {
  windowMs: 600 * SECOND_MS,
  marginMs: 300 * SECOND_MS,
  aheadMs: 60 * SECOND_MS,
  maxKeys: 1_000,
};

interface RecordSpec {
  type?: ClaimStreamRecord['type'];
  key?: string;
  issuedAtMs?: number;
  claimNumber?: number;
  attempt?: number;
}

function createRecord(spec: RecordSpec): ClaimStreamRecord {
  const shape = {
    keyHash: spec.key ?? 'k1',
    requestHash: 'same',
    issuedAtMs: spec.issuedAtMs ?? NOW_MS,
    claimNumber: spec.claimNumber ?? 0,
    attempt: spec.attempt ?? 0,
  };
  const type = spec.type ?? 'claim';
  return type === 'outcome'
    ? {type, ...shape, outcome: 'ran', answer: null}
    : {type, ...shape};
}

/** A stream that tests fold from different start offsets. */
function createStream() {
  const appends: Uint8Array[] = [];
  const write = (
    author: string,
    specs: readonly RecordSpec[],
    writtenAtMs = NOW_MS,
  ) => {
    const records = specs.map(createRecord);
    appends.push(encodeClaimBatch({author, writtenAtMs, records}));
  };
  const writeGarbage = () => appends.push(Buffer.from('no batch'));
  const fold = (from = 0) => {
    const node = new ClaimFold(OPTIONS, from);
    const verdicts = appends
      .slice(from)
      .flatMap(data => node.foldAppend(data))
      .map(({author, verdict}) => `${author} ${verdict}`);
    return {node, verdicts};
  };
  return {write, writeGarbage, fold};
}

const granted = (author: string): string =>
  `${author} ${'granted' satisfies FoldVerdict}`;

const test = suite('claim fold');

// Guards against two grants when two nodes claim a key before either has read
// the other's claim.
test('grants a key to the first of two concurrent claims', () => {
  const {write, fold} = createStream();
  write('a', [{}]);
  write('b', [{}]);
  assert.equal(fold().verdicts, ['a granted', 'b taken']);
});

// Guards against a wrong verdict on a claim that is appended again after the
// log's response was lost.
test('grants a claim once when its append is retried', () => {
  const {write, fold} = createStream();
  write('a', [{}]);
  write('b', [{}]);
  write('a', [{}]);
  assert.equal(fold().verdicts, ['a granted', 'b taken', 'a duplicate']);
});

test('frees a key only on release by its claimant, for one claim', () => {
  const {write, fold} = createStream();
  write('a', [{}]);
  write('b', [{type: 'release'}, {claimNumber: 1, attempt: 1}]);
  write('a', [{type: 'release'}]);
  write('b', [{claimNumber: 2, attempt: 1}]);
  write('c', [{claimNumber: 3, attempt: 1}]);
  assert.equal(
    fold().verdicts.filter(verdict => !verdict.endsWith('null')),
    ['a granted', 'b taken', 'b granted', 'c taken'],
  );
});

// Guards against a key blocked permanently by an abandoned claim whose append
// takes effect after its release.
test('ignores a claim that is appended after its release', () => {
  const {write, fold} = createStream();
  write('a', [{type: 'release'}]);
  write('a', [{}]);
  write('b', [{attempt: 1}, {type: 'release', attempt: 1}]);
  write('a', [{}]);
  assert.equal(fold().verdicts, [
    'a null',
    'a duplicate',
    'b granted',
    'b null',
    'a taken',
  ]);
});

test('keeps an outcome when a release follows it', () => {
  const {write, fold} = createStream();
  write('a', [{}, {type: 'outcome'}, {type: 'release'}]);
  write('b', [{attempt: 1}]);
  assert.is(fold().verdicts.at(-1), 'b taken');
  assert.is(
    fold().node.find({keyHash: 'k1', issuedAtMs: NOW_MS})?.state,
    'ran',
  );
});

// Guards against a second grant of an old key whose claim was evicted.
test('refuses a key whose claim may have been evicted', () => {
  const {write, fold} = createStream();
  const later = NOW_MS + 2 * OPTIONS.windowMs;
  const newer = Array.from({length: 40}, (_, index) => ({
    key: `n${index}`,
    issuedAtMs: later,
  }));
  write('a', [{}]);
  write('a', newer, later);
  write('b', [{}], later);
  const {node, verdicts} = fold();
  assert.is(verdicts.at(-1), 'b below-floor');
  assert.is(node.size, 40);
});

// Guards against eviction of valid keys when one host's clock and some keys
// are a day ahead.
test('grants valid keys when a node has a wrong clock', () => {
  const {write, fold} = createStream();
  const futureMs = NOW_MS + 24 * 3_600 * SECOND_MS;
  const validKeys = Array.from({length: 400}, (_, index) => ({
    key: `h${index}`,
  }));
  const futureKeys = Array.from({length: 100}, (_, index) => ({
    key: `w${index}`,
    issuedAtMs: futureMs,
  }));
  write('a', validKeys);
  write('wrong', futureKeys, futureMs);
  write('wrong', [{key: 'more'}], futureMs);
  write('a', [{key: 'new', issuedAtMs: NOW_MS}]);
  assert.is(fold().verdicts.at(-1), 'a granted');
});

test('refuses a key created too far in the future', () => {
  const {write, fold} = createStream();
  write('a', [{issuedAtMs: NOW_MS + OPTIONS.aheadMs + 1}]);
  assert.equal(fold().verdicts, ['a dated-ahead']);
});

test('evicts the oldest keys over the maximum count', () => {
  const {write, fold} = createStream();
  const fill = Array.from({length: OPTIONS.maxKeys}, (_, index) => ({
    key: `n${index}`,
    issuedAtMs: NOW_MS + 20 * SECOND_MS,
  }));
  write('a', [{}]);
  write('a', fill);
  write('b', [{}]);
  const {node, verdicts} = fold();
  assert.is(verdicts.at(-1), 'b below-floor');
  assert.is(node.size, OPTIONS.maxKeys);
});

// Guards against a second grant by a new node when the key's first claim was
// trimmed from the log.
test('refuses keys that appends before the start offset may have claimed', () => {
  const {write, fold} = createStream();
  write('a', [{}]);
  write('a', [], NOW_MS + SECOND_MS);
  const newKey = NOW_MS + 2 * OPTIONS.marginMs;
  write('b', [{}, {key: 'k2', issuedAtMs: newKey}], newKey);
  assert.equal(fold(1).verdicts, ['b below-floor', granted('b')]);
  assert.is(fold(3).node.floorMs, Number.POSITIVE_INFINITY);
});

// Guards against a second grant of keys claimed by a node of a newer release,
// whose batches this release cannot read.
test('treats an append of an unknown format as a gap', () => {
  const {write, writeGarbage, fold} = createStream();
  write('a', [{key: 'k0'}]);
  writeGarbage();
  write('a', [{}]);
  assert.equal(fold().verdicts, ['a granted', 'a below-floor']);
});

// Guards against two nodes acting on one key when their folds start at
// different offsets.
test('grants a key to one author across folds with different starts', () => {
  const {write, fold} = createStream();
  const authors = ['a', 'b', 'c'];
  const steps = Array.from({length: 300}, (_, index) => index);
  steps.forEach(step =>
    write(
      authors[step % 3]!,
      [
        {
          key: `k${(step * 7) % 20}`,
          issuedAtMs: NOW_MS + ((step * 7) % 20) * 40 * SECOND_MS,
          claimNumber: step,
        },
      ],
      NOW_MS + step * 5 * SECOND_MS,
    ),
  );
  const starts: Record<string, number> = {a: 0, b: 90, c: 170};
  const grantedKeys = authors.flatMap(author => {
    const from = starts[author]!;
    return fold(from)
      .verdicts.map((verdict, index) => ({verdict, step: from + index}))
      .filter(({verdict}) => verdict === granted(author))
      .map(({step}) => (step * 7) % 20);
  });
  assert.ok(grantedKeys.length > 0);
  assert.is(new Set(grantedKeys).size, grantedKeys.length);
});

test.run();
