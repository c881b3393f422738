import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {KeyedTable} from './keyed_table.js';
import {type KeyedRecord} from './keyed_topic.js';

const test = suite('keyed table under any order of records');

const KEYS = ['a', 'b', 'c'];
/** A long run takes more runs by this variable; CI has a fixed seed. */
const RUNS = Number(process.env['MIMOSATACK_PROPERTY_RUNS'] ?? 200);
const SEED = 20_261_203;

/** The log as the store has it; a value of null drops its key. */
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

/** Parts of the log, told late, twice or in any order, and snapshots. */
const tellings = fc.array(
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

/*
 * A node learns of changes from the store and from peers, some of which lag.
 * Whatever the order, no key ever goes back to an older record, and once the
 * whole log was told the table holds what the store holds.
 */
test('no key goes back, and all is known in the end', () => {
  fc.assert(
    fc.property(logs, tellings, (log, told) => {
      const table = new KeyedTable();
      const seen = new Map<string, number>();
      const check = () =>
        KEYS.forEach(key => {
          const offset = table.get(key)?.offset;
          if (offset === undefined) return;
          assert.ok(offset >= (seen.get(key) ?? -1), `${key} went back`);
          seen.set(key, offset);
        });
      told.forEach(({from, length, isSnapshot}) => {
        const end = Math.min(log.length, from + length);
        if (isSnapshot) {
          table.applySnapshot({
            records: findNewest(log, end),
            endOffset: end,
          });
        } else {
          table.applyRecords(from, log.slice(from, end), end);
        }
        check();
      });
      table.applyRecords(0, log, log.length);
      check();
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
