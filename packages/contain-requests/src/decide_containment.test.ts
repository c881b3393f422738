/** Guards against blaming the wrong part of prompts for crashes. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type Cut} from './crash_evidence.js';
import {decideContainment} from './decide_containment.js';

const test = suite('decision on containment');

/** Cuts at the servers that the letters name, 200 ms apart in the order of the alphabet. */
function makeCuts(
  servers: string,
  recentUses = 0,
  gapMs = 200,
  promptIndex = 1,
) {
  return new Map<string, Cut>(
    [...servers].map(life => [
      life,
      {
        ...{atMs: gapMs * life.charCodeAt(0), isTry: false},
        ...{recentUses, promptIndex},
      },
    ]),
  );
}

function decide(cuts: Readonly<Record<string, Map<string, Cut>>>): string[] {
  return decideContainment(new Map(Object.entries(cuts))).map(
    ({suspect}) => suspect,
  );
}

test('a part that was lost with three servers is contained at once', () => {
  const cuts = makeCuts('abc');
  const [only] = decideContainment(new Map([['part:bad', cuts]]));
  assert.is(only?.suspect, 'part:bad');
  assert.is(only?.fromMs, cuts.get('c')?.atMs);
  assert.equal(decide({'part:bad': makeCuts('ab')}), []);
});

test('a part that is in use is not contained for crashes of another one', () => {
  const cuts = {'part:5a': makeCuts('abcde', 9), 'part:bad': makeCuts('cde')};
  assert.equal(decide(cuts), ['part:bad']);
});

test('a part that was served before is contained after a wait', () => {
  const cuts = makeCuts('abc', 4);
  const decided = decideContainment(
    new Map([
      ['part:5a', makeCuts('abc', 9)],
      ['part:bad', cuts],
    ]),
  );
  const fromMs = (cuts.get('c')?.atMs ?? 0) + 2_000;
  assert.equal(decided, [{suspect: 'part:bad', fromMs, untilMs: Infinity}]);
});

test('servers that are lost together count as one crash', () => {
  assert.equal(decide({'part:other': makeCuts('abcdefgh', 0, 10)}), []);
});

test('a choice among equals is corrected by the next crash', () => {
  const before = {'part:a': makeCuts('abc'), 'part:bad': makeCuts('abc')};
  assert.equal(decide(before), ['part:a']);
  const after = {...before, 'part:bad': makeCuts('abcd')};
  assert.equal(decide(after), ['part:bad']);
});

// Guards against refusing all that begins with the same parts for what only follows on them.
test('among equals the part that comes last in the prompt is contained', () => {
  const cuts = {
    'part:a': makeCuts('abc', 0, 200, 1),
    'part:bad': makeCuts('abc', 0, 200, 2),
  };
  assert.equal(decide(cuts), ['part:bad']);
  const moreWithFirst = {...cuts, 'part:a': makeCuts('abcd', 0, 200, 1)};
  assert.equal(decide(moreWithFirst), ['part:a']);
});

test('two parts that crash servers are both contained', () => {
  const cuts = {
    ...{'part:5a': makeCuts('abcdef', 9)},
    ...{'part:b1': makeCuts('abc'), 'part:b2': makeCuts('def')},
  };
  assert.equal(decide(cuts), ['part:b1', 'part:b2']);
});

// Guards against refusing a request for long that was lost with three servers beside a part
// that crashes them.
test('a request that was beside a crashing part is contained for 5 s', () => {
  const findUntilMs = (servers: string) =>
    decideContainment(
      new Map([
        ['part:bad', makeCuts('abcde')],
        ['beside', makeCuts(servers)],
      ]),
    ).find(({suspect}) => suspect === 'beside')?.untilMs;
  const lastCutMs = makeCuts('d').get('d')?.atMs ?? 0;
  assert.is(findUntilMs('bcd'), lastCutMs + 5_000);
  assert.is(findUntilMs('def'), Infinity);
});

test.run();
