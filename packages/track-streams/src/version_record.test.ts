import {ODD_NAMES, ODD_RECORDS, listOddRecords} from '@mimosatack/fakes';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {decodeVersionRecord, encodeVersionRecord} from './version_record.js';

const test = suite('record of the versions of services');

const RECORD = {services: {s: ['v1']}, era: 0};
const DEEP = ODD_NAMES.slice(-1);

// Guards against versions that no server has, and an era that never comes.
test('an odd record of versions is left out', () => {
  const odd = [
    ...Object.entries(ODD_RECORDS),
    ...listOddRecords(RECORD, [
      ['services', ['7', 'null', '["v1"]', '{"s":"v1"}', '{"s":[7]}', ...DEEP]],
      ['services', ODD_NAMES.map(text => `{"s":[${text}]}`)],
      ['era', ['1e999', '1e308', '-1', '1.5', '"0"', 'null', ...DEEP]],
      ['not_known', DEEP],
    ]),
  ];
  const taken = odd.filter(([, text]) =>
    decodeVersionRecord(Buffer.from(text)),
  );
  assert.equal(
    taken.map(([name]) => name),
    [],
  );
});

// Guards against a service of this name that changes all objects or is lost.
test('a service may have the name of a property of objects', () => {
  const services = new Map([
    ['__proto__', ['v1']],
    ['constructor', ['v2']],
  ]);
  const value = encodeVersionRecord({services, era: 1});
  const decoded = value && decodeVersionRecord(value);
  assert.equal(decoded?.services.get('constructor'), ['v2']);
  assert.is(Object.getPrototypeOf({}), Object.prototype);
});

test.run();
