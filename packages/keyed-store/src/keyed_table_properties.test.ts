import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {KeyedTable} from './keyed_table.js';
import {type KeyedRecord} from './keyed_topic.js';

const test = suite('keyed table with records in any order');

const KEYS = ['a', 'b', 'c'];
/** The environment variable sets more runs for long tests. */
const RUNS = Number(process.env['MIMOSATACK_PROPERTY_RUNS'] ?? 200);
const SEED = 20_261_203;

/** The records in the store. */
const logs = fc
  .array(fc.record({key: fc.nat({max: 2}), isDrop: fc.boolean()}), {
    minLength: 1,
    maxLength: 30,
  })
  .map(rows =>
    rows.map(({key, isDrop}, offset): KeyedRecord => ({
      key: KEYS[key] ?? '',
      offset,
      value: isDrop ? null : Buffer.from(`${offset}`),
    })),
  );

/** Parts of the log and snapshots, delivered late, twice or in any order. */
const deliveries = fc.array(
  fc.record({
    from: fc.nat({max: 29}),
    length: fc.nat({max: 10}),
    isSnapshot: fc.boolean(),
  }),
  {maxLength: 40},
);

function findNewest(log: readonly KeyedRecord[], endOffset: number) {
  const newest = new Map<string, KeyedRecord>();
  log.slice(0, endOffset).forEach(record => newest.set(record.key, record));
  return [...newest.values()].filter(({value}) => value !== null);
}

// Guards against a lagging peer that reverts a key, and against a table that
// differs from the store after all records were applied.
test('keys never revert, and the table converges to the store', () => {
  fc.assert(
    fc.property(logs, deliveries, (log, delivered) => {
      const table = new KeyedTable();
      const newestOffsets = new Map<string, number>();
      const checkOffsets = () =>
        KEYS.forEach(key => {
          const offset = table.get(key)?.offset;
          if (offset === undefined) return;
          assert.ok(
            offset >= (newestOffsets.get(key) ?? -1),
            `${key} reverted to an older record`,
          );
          newestOffsets.set(key, offset);
        });
      delivered.forEach(({from, length, isSnapshot}) => {
        const end = Math.min(log.length, from + length);
        if (isSnapshot) {
          table.applySnapshot({
            records: findNewest(log, end),
            endOffset: end,
          });
        } else {
          table.applyRecords(from, log.slice(from, end), end);
        }
        checkOffsets();
      });
      table.applyRecords(0, log, log.length);
      checkOffsets();
      const expected = findNewest(log, log.length).map(({offset}) => offset);
      assert.equal(
        table
          .list()
          .map(({offset}) => offset)
          .sort((a, b) => a - b),
        expected.sort((a, b) => a - b),
      );
    }),
    {numRuns: RUNS, seed: SEED},
  );
});

test.run();
