import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {KeyedTable} from './keyed_table.js';
import {type KeyedRecord} from './keyed_topic.js';

const test = suite('keyed table');

function makeRecord(key: string, offset: number, text = ''): KeyedRecord {
  return {key, offset, value: Buffer.from(text || `${key}${offset}`)};
}

function listKeys(table: KeyedTable): string[] {
  return table
    .list()
    .map(({key, offset}) => `${key}${offset}`)
    .sort();
}

// Guards against a slow read of the store that reverts a newer configuration
// received from a peer.
test('an older record never replaces a newer one', () => {
  const table = new KeyedTable();
  table.applyRecords(0, [makeRecord('config', 5)], 6);
  const changes = table.applyRecords(0, [makeRecord('config', 4)], 5);
  assert.equal(changes, []);
  assert.equal(listKeys(table), ['config5']);
});

test('an older record does not restore a deleted key', () => {
  const table = new KeyedTable();
  table.applyRecords(0, [makeRecord('a', 1)], 2);
  table.applyRecords(2, [{key: 'a', value: null, offset: 2}], 3);
  assert.equal(table.applySnapshot({records: [], endOffset: 3}), []);
  assert.equal(table.applyRecords(0, [makeRecord('a', 1)], 2), []);
  assert.equal(listKeys(table), []);
});

// Guards against requests to a removed server whose deletion record the store
// no longer retains.
test('a snapshot deletes the keys that it does not contain', () => {
  const table = new KeyedTable();
  table.applyRecords(0, [makeRecord('a', 1), makeRecord('b', 2)], 3);
  const changes = table.applySnapshot({
    records: [makeRecord('b', 2)],
    endOffset: 9,
  });
  assert.equal(
    changes.map(({key, value}) => ({key, value})),
    [{key: 'a', value: null}],
  );
  assert.is(table.endOffset, 9);
});

test('a snapshot does not delete a newer record', () => {
  const table = new KeyedTable();
  table.applyRecords(0, [makeRecord('c', 12)], 13);
  table.applySnapshot({records: [makeRecord('a', 1)], endOffset: 9});
  assert.equal(listKeys(table), ['a1', 'c12']);
});

test('records after a gap do not advance the end offset', () => {
  const table = new KeyedTable();
  table.applyRecords(0, [makeRecord('a', 0)], 1);
  table.applyRecords(4, [makeRecord('b', 4)], 5);
  assert.is(table.endOffset, 1);
  assert.equal(
    table.listSince(1).map(({key}) => key),
    ['b'],
  );
});

test.run();
