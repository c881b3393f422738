import * as fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RelayFrameDecoder, RelayFrameEncoder} from './relay_frames.js';

const test = suite('frames of a relayed connection');

async function encode(chunks: readonly Uint8Array[], isReset: boolean) {
  const encoder = new RelayFrameEncoder();
  chunks.forEach(chunk => encoder.write(chunk));
  if (isReset) encoder.endAsReset();
  else encoder.end();
  return Buffer.concat((await encoder.toArray()) as Buffer[]);
}

// Guards against bytes that are lost or doubled where frames are split between reads.
test('the bytes and the ending are decoded wherever reads split the frames', () =>
  fc.assert(
    fc.asyncProperty(
      fc.array(fc.uint8Array({maxLength: 40}), {maxLength: 6}),
      fc.boolean(),
      fc.integer({min: 1, max: 20}),
      async (chunks, isReset, readBytes) => {
        const frames = await encode(chunks, isReset);
        const decoder = new RelayFrameDecoder();
        const reads = Array.from(
          {length: Math.ceil(frames.length / readBytes)},
          (_, at) => frames.subarray(at * readBytes, (at + 1) * readBytes),
        ).map(read => decoder.decode(read));
        assert.equal(
          Buffer.concat(reads.map(({data}) => data)),
          Buffer.concat(chunks),
        );
        assert.equal(
          reads.flatMap(({ending}) => ending ?? []),
          [isReset ? 'reset' : 'end'],
        );
      },
    ),
  ));

test('a frame of an unknown type is an error', () => {
  const unknown = Buffer.from([9, 0, 0, 0, 0]);
  assert.throws(() => new RelayFrameDecoder().decode(unknown), /type 9/);
});

test.run();
