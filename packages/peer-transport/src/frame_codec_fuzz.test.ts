import {TypedError} from '@mimosatack/errors';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import * as z from 'zod';
import {FrameCodec} from './frame_codec.js';

const test = suite('frames of any bytes');

const RUNS = {numRuns: 400, seed: 11};
const bodySchema = z.object({type: z.literal('hint'), count: z.number()});
const codec = new FrameCodec(bodySchema, 10_000);
const packr = new Packr();

/** Decodes, or tells that the bytes were refused as they should be. */
function decodeOrRefuse(bytes: Uint8Array): unknown {
  try {
    return codec.decode(bytes);
  } catch (thrown) {
    assert.instance(thrown, TypedError);
    assert.is((thrown as TypedError).kind, 'peer-message-invalid');
    return null;
  }
}

/*
 * A node of another release, or a fault on the way, sends what nobody knows. The
 * process that hears it would end, and with it all requests that it serves.
 */
test('bytes of no known form are refused with a typed error', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 200}), bytes => {
      decodeOrRefuse(bytes);
    }),
    RUNS,
  );
});

test('values of another form are refused', () => {
  fc.assert(
    fc.property(fc.anything({maxDepth: 3}), value => {
      let bytes: Uint8Array;
      try {
        bytes = packr.pack(value);
      } catch {
        // Not every value has a form in bytes.
        return;
      }
      decodeOrRefuse(bytes);
    }),
    RUNS,
  );
});

test('a frame with some bytes changed is refused or still of a known form', () => {
  const change = fc.tuple(fc.nat({max: 60}), fc.nat({max: 255}));
  fc.assert(
    fc.property(fc.array(change, {minLength: 1, maxLength: 3}), changes => {
      const bytes = Uint8Array.from(
        codec.encode({kind: 'message', body: {type: 'hint', count: 7}}),
      );
      changes.forEach(([at, value]) => (bytes[at % bytes.length] = value));
      const frame = decodeOrRefuse(bytes) as {body?: unknown} | null;
      if (frame?.body) assert.ok(bodySchema.safeParse(frame.body).success);
    }),
    RUNS,
  );
});

test.run();
