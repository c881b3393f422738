import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type AgreedRecord, decodeBatch, encodeBatch} from './index.js';

const test = suite('appends of records');

const MARK = 'PLACEHOLDER';
const FIXED_TEXT = 0xa0;
const ONE_ITEM_ARRAY = 0x91;
const NIL = 0xc0;

/** An append of a template that is nested so deep. */
function makeAppend(depth: number): Uint8Array {
  const record: AgreedRecord = {
    ...{recordId: 'record-1', author: 'node-1.aaaaaaaa', basisSequence: 0},
    ...{writtenAtMs: 0, operator: null, reason: null},
    body: {
      ...{type: 'put-document', kind: 'template', id: 'window'},
      ...{expectedVersion: 0, content: {team: 'pantry', event: {odd: MARK}}},
    },
  };
  const bytes = Buffer.from(encodeBatch([record]));
  const mark = Buffer.from([FIXED_TEXT | MARK.length, ...Buffer.from(MARK)]);
  const at = bytes.indexOf(mark);
  return Buffer.concat([
    bytes.subarray(0, at),
    Buffer.alloc(depth, ONE_ITEM_ARRAY),
    Buffer.from([NIL]),
    bytes.subarray(at + mark.length),
  ]);
}

// Guards against a state that can't be written, and against hosts that decide by the space
// on their stacks whether an append is valid.
test('an append that is nested very deeply is unreadable, at any depth', () => {
  [1, 30].forEach(depth => {
    assert.ok(
      'record' in (decodeBatch(makeAppend(depth))[0] ?? {}),
      `${depth}`,
    );
  });
  [1_500, 3_000, 4_500, 6_000, 100_000].forEach(depth => {
    const entries = decodeBatch(makeAppend(depth));
    assert.is(entries.length, 1);
    const [entry] = entries;
    const message = entry && 'error' in entry ? entry.error.message : 'valid';
    assert.is(message, 'The append is no batch.', `${depth}`);
  });
});

test.run();
