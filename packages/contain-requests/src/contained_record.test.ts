/** Guards against losing or misreading contained requests after a restart. */
import {ODD_NAMES, ODD_RECORDS, listOddRecords} from '@mimosatack/fakes';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {decodeContained, encodeContained} from './contained_record.js';

const test = suite('record of contained requests');

const MAX_RECORD_BYTES = 262_144;

/** The last cut is dated to 90 ms, when the record is read; the others keep their distance. */
const AT_MS: Readonly<Record<string, number>> = {b: 70, a: 80, c: 90};

const makeCuts = (names: string) =>
  new Map(
    [...names].map((serverLife, atMs) => [
      serverLife,
      {
        ...{atMs: 10 * atMs, isTry: serverLife === 'c'},
        ...{recentUses: 4, promptIndex: 2},
      },
    ]),
  );
const cuts = new Map([
  ['bad', makeCuts('bac')],
  ['other', makeCuts('a')],
]);

test('only contained requests are recorded', () => {
  const value = encodeContained(['bad'], cuts);
  assert.equal(
    value && decodeContained(value, 90),
    ['a', 'b', 'c'].map(serverLife => ({
      ...{kind: 'cut', fingerprint: 'bad', serverLife},
      ...{recentUses: 4, promptIndex: 2},
      ...{isTry: serverLife === 'c', atMs: AT_MS[serverLife]},
    })),
  );
  assert.is(encodeContained([], cuts), null);
});

test('the same facts make the same record in any order of arrival', () => {
  const other = new Map([['bad', new Map([...makeCuts('bac')].reverse())]]);
  assert.equal(encodeContained(['bad'], cuts), encodeContained(['bad'], other));
});

/* Guards against a record that is larger than the store accepts. */
test('the suspects with the latest cuts are recorded', () => {
  const names = Array.from({length: 100}, (_, at) => `part:${at}`);
  const lives = Array.from(
    {length: 32},
    (_, at) => `i-server-${at}@1764900000000`,
  );
  const many = new Map(
    names.map(name => [
      name,
      new Map(
        lives.map((serverLife, atMs) => [
          serverLife,
          {...{atMs, isTry: false}, ...{recentUses: 0, promptIndex: 1}},
        ]),
      ),
    ]),
  );
  const value = encodeContained(names, many);
  const decoded = value && decodeContained(value, 90);
  const recorded = [...new Set(decoded?.map(({fingerprint}) => fingerprint))];
  assert.equal(recorded, names.slice(-46));
  assert.is(decoded?.length, 46 * lives.length);
  assert.ok((value?.length ?? 0) <= MAX_RECORD_BYTES, `${value?.length}`);
});

test('a record with an invalid format decodes to null', () => {
  ['', '{', '[1]', '{"bad":3}', '[{"fingerprint":1,"cuts":[]}]'].forEach(text =>
    assert.is(decodeContained(Buffer.from(text), 0), null, text),
  );
});

const CUT = {serverLife: 'a', isTry: false, beforeLastMs: 1, recentUses: 2};
const SUSPECT = {fingerprint: 'f', cuts: [CUT]};
const DEEP = ODD_NAMES.slice(-1);

// Guards against requests that are contained for a time, or by servers, that never was.
test('an odd record of contained requests is left out', () => {
  const odd = [
    ...Object.entries(ODD_RECORDS),
    ...listOddRecords(SUSPECT, [
      ['fingerprint', ODD_NAMES],
      ['cuts', ['7', '{}', '[7]', ...DEEP]],
      ['not_known', DEEP],
    ]).map(([name, text]): [string, string] => [name, `[${text}]`]),
    ...listOddRecords(CUT, [
      ['serverLife', ODD_NAMES],
      ['isTry', ['7', 'null', ...DEEP]],
      ['beforeLastMs', ['1e999', '1e308', '-1', '"7"', ...DEEP]],
      ['recentUses', ['1e999', '1e308', '-1', '"7"', ...DEEP]],
    ]).map(([name, text]): [string, string] => [
      name,
      `[{"fingerprint":"f","cuts":[${text}]}]`,
    ]),
  ];
  const taken = odd.filter(([, text]) => decodeContained(Buffer.from(text), 9));
  assert.equal(
    taken.map(([name]) => name),
    [],
  );
  const valid = Buffer.from(JSON.stringify([SUSPECT]));
  assert.is(decodeContained(valid, 9)?.length, 1);
});

test.run();
