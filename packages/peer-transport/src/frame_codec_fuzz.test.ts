import {TypedError} from '@mimosatack/errors';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import * as z from 'zod';
import {FrameCodec} from './frame_codec.js';

const test = suite('frame codec fuzzing');

const FUZZ_OPTIONS = {numRuns: 400, seed: 11};
const bodySchema = z.object({type: z.literal('hint'), count: z.number()});
const codec = new FrameCodec(bodySchema, 10_000);
const packr = new Packr();

/** Returns null if decoding throws `peer-message-invalid`. */
function decodeOrNull(bytes: Uint8Array): unknown {
  try {
    return codec.decode(bytes);
  } catch (thrown) {
    assert.instance(thrown, TypedError);
    assert.is((thrown as TypedError).kind, 'peer-message-invalid');
    return null;
  }
}

// Guards against a process crash on a frame from another release or on corrupt
// bytes.
test('refuses arbitrary bytes with a typed error', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 200}), bytes => {
      decodeOrNull(bytes);
    }),
    FUZZ_OPTIONS,
  );
});

test('refuses arbitrary encoded values with a typed error', () => {
  fc.assert(
    fc.property(fc.anything({maxDepth: 3}), value => {
      let bytes: Uint8Array;
      try {
        bytes = packr.pack(value);
      } catch {
        // msgpackr cannot encode every value.
        return;
      }
      decodeOrNull(bytes);
    }),
    FUZZ_OPTIONS,
  );
});

test('refuses a corrupted frame or decodes it to a valid message', () => {
  const change = fc.tuple(fc.nat({max: 60}), fc.nat({max: 255}));
  fc.assert(
    fc.property(fc.array(change, {minLength: 1, maxLength: 3}), changes => {
      const bytes = Uint8Array.from(
        codec.encode({kind: 'message', body: {type: 'hint', count: 7}}),
      );
      changes.forEach(([at, value]) => (bytes[at % bytes.length] = value));
      const frame = decodeOrNull(bytes) as {body?: unknown} | null;
      if (frame?.body) assert.ok(bodySchema.safeParse(frame.body).success);
    }),
    FUZZ_OPTIONS,
  );
});

// Guards against a stack overflow that ends the process or harms the next message.
test('a message that is nested very deeply is rejected, and the next is read', () => {
  const ONE_ITEM_ARRAY = 0x91;
  const deep = Buffer.alloc(200_000, ONE_ITEM_ARRAY);
  const oneItemMap = Buffer.from([0x81, 0xa4, ...Buffer.from('body')]);
  const body = {type: 'hint' as const, count: 1};
  const next = codec.encode({kind: 'message', body});
  [deep, Buffer.concat([oneItemMap, deep])].forEach(bytes => {
    assert.throws(
      () => codec.decode(bytes),
      (error: unknown) =>
        error instanceof TypedError && error.kind === 'peer-message-invalid',
    );
    assert.equal(codec.decode(next), {kind: 'message', body});
  });
});

test.run();
