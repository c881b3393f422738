/** What the store keeps of contained requests. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {decodeContained, encodeContained} from './contained_record.js';

const test = suite('record of contained requests');

const cuts = new Map([
  [
    'bad',
    new Map([
      ['b', 1],
      ['a', 2],
      ['c', 3],
    ]),
  ],
  ['other', new Map([['a', 2]])],
]);

test('only what is contained is recorded', () => {
  const value = encodeContained(['bad'], cuts);
  assert.equal(
    value && decodeContained(value, 9),
    ['a', 'b', 'c'].map(serverLife => ({
      ...{kind: 'cut', fingerprint: 'bad', serverLife, atMs: 9},
    })),
  );
  assert.is(encodeContained([], cuts), null);
});

test('the same knowledge makes the same record, whoever learnt it how', () => {
  const other = new Map([
    [
      'bad',
      new Map([
        ['c', 7],
        ['a', 8],
        ['b', 9],
      ]),
    ],
  ]);
  assert.equal(encodeContained(['bad'], cuts), encodeContained(['bad'], other));
});

test('a record of another form tells nothing', () => {
  ['', '{', '[1]', '{"bad":3}', '[{"fingerprint":1,"serverLives":[]}]'].forEach(
    text => assert.is(decodeContained(Buffer.from(text), 0), null, text),
  );
});

test.run();
