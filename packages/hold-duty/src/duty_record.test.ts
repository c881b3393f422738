import {ODD_NAMES, ODD_RECORDS, listOddRecords} from '@mimosatack/fakes';
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {startNodes} from './duty_fixture.js';
import {DutyHolderCodec} from './duty_task.js';

const test = suite('records of the duty');

const HOLDER = {
  ...{nodeName: 'a', incarnation: 'a.1', address: 'a:1'},
  ...{handedOverBy: 'b.1', era: 0},
};
const EMPTY = '""';

const ODD = [
  ...Object.entries(ODD_RECORDS),
  ...listOddRecords(HOLDER, [
    ['nodeName', [...ODD_NAMES, EMPTY]],
    ['incarnation', [...ODD_NAMES, EMPTY]],
    ['address', [...ODD_NAMES, EMPTY]],
    ['handedOverBy', ODD_NAMES],
    ['address', ['"a:0"', '"a:99999"', '"a"']],
    ['era', ['1e999', '1e308', '-1', '"0"', ...ODD_NAMES.slice(-1)]],
    ['not_known', ODD_NAMES.slice(-1)],
  ]),
];

// Guards against a holder that no host can name to another, which closes the connection.
test('an odd record of the duty names no holder', () => {
  const taken = ODD.flatMap(([name, text]) => {
    try {
      const {holder} = DutyHolderCodec.decode(Buffer.from(text), 4);
      return [`${name}: ${holder.nodeName}`];
    } catch (thrown) {
      const isTyped = thrown instanceof TypedError;
      return isTyped ? [] : [`${name}: ${String(thrown)}`];
    }
  });
  assert.equal(taken, []);
  const value = DutyHolderCodec.encode(HOLDER, 0);
  const {era: _, ...holder} = HOLDER;
  assert.equal(DutyHolderCodec.decode(value, 4), {
    holder: {...holder, token: 5},
    isFromCopy: false,
  });
});

// Guards against a duty that moves because of a record that names nobody.
test('the holder keeps the duty after odd records, and hands it over later', async () => {
  const {nodes, topic, listHolders, passTime, stop} = startNodes(['a', 'b']);
  await passTime(1_000);
  const [holder] = listHolders();
  for (const [, text] of ODD) {
    await topic.append([{key: 'scheduler', value: Buffer.from(text)}]);
    await passTime(50);
    assert.equal(listHolders(), [holder], text.slice(0, 100));
  }
  await passTime(1_000);
  const first = nodes.find(({name}) => name === holder);
  const other = nodes.find(({name}) => name !== holder);
  if (!first || !other) throw new Error('There is no holder.');
  const {name: nodeName, incarnation} = other;
  await first.task.handOver({nodeName, incarnation, address: `${nodeName}:1`});
  await passTime(1_000);
  assert.equal(listHolders(), [nodeName]);
  stop();
});

test.run();
