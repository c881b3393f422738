/**
 * The binary format of checkpoints. A compressed state is split into parts, one
 * per append. Each part carries the digest of the state, so that readers can
 * separate the parts of concurrent writers.
 */
import {createHash} from 'node:crypto';
import {promisify} from 'node:util';
import {deflate, inflate} from 'node:zlib';
import {AgreedState} from '@mimosatack/agreed-state';
import {TypedError} from '@mimosatack/errors';
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

const compress = promisify(deflate);
const decompress = promisify(inflate);

const PART_FORMAT_VERSION = 1;
const MAX_PART_BYTES = 256 * 1024;
const MAX_PARTS = 1024;

const partSchema = z.object({
  form: z.literal(PART_FORMAT_VERSION),
  /** SHA-256 in hex of the uncompressed state. */
  digest: z.string().length(64),
  coversOffset: z.number().int().min(0),
  partIndex: z.number().int().min(0),
  partCount: z.number().int().min(1).max(MAX_PARTS),
  data: z.custom<Uint8Array>(value => value instanceof Uint8Array),
});

/** One part of a checkpoint, as stored in the log. */
export type CheckpointPart = z.infer<typeof partSchema>;

/** Encodes a state as the appends of one checkpoint. */
export async function encodeCheckpoint(
  state: AgreedState,
): Promise<Uint8Array[]> {
  const coversOffset = state.nextOffset;
  const stateBytes = state.toBytes();
  const digest = hash(stateBytes);
  const compressed = await compress(stateBytes);
  const partCount = Math.max(1, Math.ceil(compressed.length / MAX_PART_BYTES));
  return Array.from({length: partCount}, (_unused, partIndex) => {
    const from = partIndex * MAX_PART_BYTES;
    const part: CheckpointPart = {
      form: PART_FORMAT_VERSION,
      digest,
      coversOffset,
      partIndex,
      partCount,
      data: compressed.subarray(from, from + MAX_PART_BYTES),
    };
    return pack(part);
  });
}

/** Decodes one append; null when it is not a valid checkpoint part. */
export function decodePart(data: Uint8Array): CheckpointPart | null {
  try {
    const parsed = partSchema.safeParse(unpack(data));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}

/**
 * Decodes a state from the parts of its checkpoint. Rejects with
 * `record-invalid` when a part is missing or corrupted.
 */
export async function assembleCheckpoint(
  parts: readonly CheckpointPart[],
): Promise<AgreedState> {
  const [first] = parts;
  const orderedParts = Array.from(
    {length: first?.partCount ?? 0},
    (_unused, index) => parts.find(part => part.partIndex === index),
  );
  if (!first || orderedParts.some(part => part === undefined)) {
    throw new TypedError(
      'record-invalid',
      'A part of a checkpoint is missing.',
    );
  }
  const compressed = Buffer.concat(
    (orderedParts as CheckpointPart[]).map(part => part.data),
  );
  const stateBytes = await decompress(compressed).catch((cause: Error) => {
    throw new TypedError('record-invalid', 'A checkpoint is damaged.', {
      cause,
    });
  });
  if (hash(stateBytes) !== first.digest) {
    throw new TypedError('record-invalid', 'A checkpoint has a wrong digest.');
  }
  return AgreedState.fromBytes(stateBytes);
}

function hash(data: Uint8Array): string {
  return createHash('sha256').update(data).digest('hex');
}
