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

/** A stream that several nodes fold; each from where it began to read. */
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

test('of two nodes that get a key at once, the first is granted', () => {
  // A caller gives up on one entry host and sends its hamper order to another.
  // Both claim the key before either has read the other's claim.
  const {write, fold} = createStream();
  write('a', [{}]);
  write('b', [{}]);
  assert.equal(fold().verdicts, ['a granted', 'b taken']);
});

test('a claim whose answer was lost is granted once', () => {
  // The log service keeps the claim but its answer is lost, and the node
  // appends it again. Taken for a second claim, the key would be lost; taken
  // for the first, it would be granted to both of two nodes.
  const {write, fold} = createStream();
  write('a', [{}]);
  write('b', [{}]);
  write('a', [{}]);
  assert.equal(fold().verdicts, ['a granted', 'b taken', 'a duplicate']);
});

test('only a release by the claimer frees a key, for one claim', () => {
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

test('a claim that arrives after its release takes nothing', () => {
  // An append hangs in a slow log service. Its node gives up, releases the
  // claim and tells the caller to come back; then the claim arrives. The key
  // must be free for the caller, not held for good by nobody.
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

test('an outcome is final', () => {
  const {write, fold} = createStream();
  write('a', [{}, {type: 'outcome'}, {type: 'release'}]);
  write('b', [{attempt: 1}]);
  assert.is(fold().verdicts.at(-1), 'b taken');
  assert.is(
    fold().node.find({keyHash: 'k1', issuedAtMs: NOW_MS})?.state,
    'ran',
  );
});

test('a key that may have been forgotten is never granted', () => {
  // A caller repeats an order of an hour ago. Its claim was forgotten to free
  // memory, so the key looks as if nobody had claimed it.
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

test('a node with a wrong clock does not push honest keys out', () => {
  // One host's clock is a day ahead. It claims what callers send it, and even
  // some keys of a caller whose clock is wrong too. New keys of all others
  // must go on being granted.
  const {write, fold} = createStream();
  const wrongMs = NOW_MS + 24 * 3_600 * SECOND_MS;
  const honest = Array.from({length: 400}, (_, index) => ({key: `h${index}`}));
  const strange = Array.from({length: 100}, (_, index) => ({
    key: `w${index}`,
    issuedAtMs: wrongMs,
  }));
  write('a', honest);
  write('wrong', strange, wrongMs);
  write('wrong', [{key: 'more'}], wrongMs);
  write('a', [{key: 'new', issuedAtMs: NOW_MS}]);
  assert.is(fold().verdicts.at(-1), 'a granted');
});

test('a key dated ahead of its author is void', () => {
  const {write, fold} = createStream();
  write('a', [{issuedAtMs: NOW_MS + OPTIONS.aheadMs + 1}]);
  assert.equal(fold().verdicts, ['a dated-ahead']);
});

test('too many keys make the oldest unknown', () => {
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

test('a node that began to read late grants nothing it may have missed', () => {
  // A new node starts; the log has dropped its oldest records. A caller
  // repeats a key whose claim was among them, and the node takes it for new.
  const {write, fold} = createStream();
  write('a', [{}]);
  write('a', [], NOW_MS + SECOND_MS);
  const newKey = NOW_MS + 2 * OPTIONS.marginMs;
  write('b', [{}, {key: 'k2', issuedAtMs: newKey}], newKey);
  assert.equal(fold(1).verdicts, ['b below-floor', granted('b')]);
  assert.is(fold(3).node.floorMs, Number.POSITIVE_INFINITY);
});

test('an append of an unknown form counts as a gap', () => {
  // Nodes of two releases run at once. The older one can't read the claims of
  // the newer one, and must not grant the same keys again.
  const {write, writeGarbage, fold} = createStream();
  write('a', [{key: 'k0'}]);
  writeGarbage();
  write('a', [{}]);
  assert.equal(fold().verdicts, ['a granted', 'a below-floor']);
});

test('folds that began at different places never grant a key twice', () => {
  // Three nodes act on their own folds of one stream. Whatever the order of
  // claims, releases and late starts, one key has one acting claimer at most.
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
  const acting = authors.flatMap(author => {
    const from = starts[author]!;
    return fold(from)
      .verdicts.map((verdict, index) => ({verdict, step: from + index}))
      .filter(({verdict}) => verdict === granted(author))
      .map(({step}) => (step * 7) % 20);
  });
  assert.ok(acting.length > 0);
  assert.is(new Set(acting).size, acting.length);
});

test.run();
