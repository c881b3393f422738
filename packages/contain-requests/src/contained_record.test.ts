/** Guards against losing or misreading contained requests after a restart. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {decodeContained, encodeContained} from './contained_record.js';

const test = suite('record of contained requests');

const makeCuts = (names: string) =>
  new Map(
    [...names].map((serverLife, atMs) => [
      serverLife,
      {atMs, isTry: serverLife === 'c'},
    ]),
  );
const cuts = new Map([
  ['bad', makeCuts('bac')],
  ['other', makeCuts('a')],
]);

test('only contained requests are recorded', () => {
  const value = encodeContained(['bad'], cuts);
  assert.equal(
    value && decodeContained(value, 9),
    ['a', 'b', 'c'].map(serverLife => ({
      ...{kind: 'cut', fingerprint: 'bad', serverLife, atMs: 9},
      isTry: serverLife === 'c',
    })),
  );
  assert.is(encodeContained([], cuts), null);
});

test('the same facts make the same record in any order of arrival', () => {
  const other = new Map([['bad', makeCuts('cab')]]);
  assert.equal(encodeContained(['bad'], cuts), encodeContained(['bad'], other));
});

test('a record with an invalid format decodes to null', () => {
  ['', '{', '[1]', '{"bad":3}', '[{"fingerprint":1,"cuts":[]}]'].forEach(text =>
    assert.is(decodeContained(Buffer.from(text), 0), null, text),
  );
});

test.run();
