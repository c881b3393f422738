import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import * as z from 'zod';
import {
  addressSchema,
  countSchema,
  durationMsSchema,
  ordinalSchema,
  parseJsonRecord,
} from './index.js';

const test = suite('records that others write');

const MAX_MESSAGE_CHARS = 1_000;

function readMessage(text: string, schema: z.ZodType): string {
  try {
    parseJsonRecord(Buffer.from(text), schema, {maxDepth: 3, maxItems: 5});
    return '';
  } catch (thrown) {
    assert.instance(thrown, TypedError);
    assert.is((thrown as TypedError).kind, 'record-invalid');
    return (thrown as TypedError).message;
  }
}

// Guards against a stack overflow, and against validation that holds up a host.
test('a record that is nested too deep or has too many items is invalid', () => {
  assert.is(readMessage('[[[1,2,3,4,5,6]]]', z.unknown()), '');
  assert.match(readMessage('[[[[1]]]]', z.unknown()), 'nested over 3 levels');
  assert.match(readMessage('{"a":{"a":[{}]}}', z.unknown()), 'over 3 levels');
  assert.match(readMessage('[1,2,3,4,5,6,7]', z.unknown()), 'over 5 items');
});

// Guards against brackets, commas and quotes in texts that are counted.
test('the content of a text does not count', () => {
  ['"[[[[[["', '"a\\"[[[[[["', '"\\\\"', '",,,,,,,"', '"\u00e9[[[["'].forEach(
    text => assert.is(readMessage(text, z.string()), '', text),
  );
  assert.match(readMessage('["\\\\",[[["x"]]]]', z.unknown()), 'nested');
});

// Guards against log lines that are as long as the record.
test('the error for a schema that throws or names much is short', () => {
  const failing = z.unknown().transform(() => {
    throw new RangeError('x'.repeat(MAX_MESSAGE_CHARS));
  });
  const messages = [
    readMessage('1', failing),
    readMessage('[1,2,3,4]', z.array(z.string())),
    readMessage('"', z.unknown()),
  ];
  messages.forEach(message => {
    assert.ok(message !== '' && message.length < MAX_MESSAGE_CHARS, message);
  });
  assert.match(messages[1] ?? '', '1 more');
});

test('values within the bounds are valid', () => {
  assert.equal(addressSchema.parse('255.0.0.1:65535'), {
    ip: '255.0.0.1',
    port: 65_535,
  });
  assert.is(countSchema.parse(1_000_000), 1_000_000);
  assert.is(durationMsSchema.parse(2_147_483_647), 2_147_483_647);
  assert.is(ordinalSchema.parse(1_790_000_000_123), 1_790_000_000_123);
});

test.run();
