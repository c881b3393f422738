/**
 * The binary form of checkpoints. A checkpoint is compressed and cut into
 * parts, each one append; every part names the whole by its digest, so parts
 * of two writers never mix.
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

const PART_FORM = 1;
const MAX_PART_BYTES = 256 * 1024;
const MAX_PARTS = 1024;

const partSchema = z.object({
  form: z.literal(PART_FORM),
  /** SHA-256 of the whole uncompressed state. */
  digest: z.string().length(64),
  coversOffset: z.number().int().min(0),
  partIndex: z.number().int().min(0),
  partCount: z.number().int().min(1).max(MAX_PARTS),
  data: z.custom<Uint8Array>(value => value instanceof Uint8Array),
});

/** One part of a checkpoint as it stands in the log. */
export type CheckpointPart = z.infer<typeof partSchema>;

/** Cuts a state into the appends that hold its checkpoint. */
export async function encodeCheckpoint(
  state: AgreedState,
): Promise<Uint8Array[]> {
  const coversOffset = state.nextOffset;
  const whole = state.toBytes();
  const digest = hash(whole);
  const compressed = await compress(whole);
  const partCount = Math.max(1, Math.ceil(compressed.length / MAX_PART_BYTES));
  return Array.from({length: partCount}, (_unused, partIndex) => {
    const from = partIndex * MAX_PART_BYTES;
    const part: CheckpointPart = {
      form: PART_FORM,
      digest,
      coversOffset,
      partIndex,
      partCount,
      data: compressed.subarray(from, from + MAX_PART_BYTES),
    };
    return pack(part);
  });
}

/** Reads one append; null when it is no part of a checkpoint. */
export function decodePart(data: Uint8Array): CheckpointPart | null {
  try {
    const parsed = partSchema.safeParse(unpack(data));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}

/**
 * Puts the parts of one checkpoint together; rejects with `record-invalid`
 * when a part is missing or the bytes are not those that were written.
 */
export async function assembleCheckpoint(
  parts: readonly CheckpointPart[],
): Promise<AgreedState> {
  const [first] = parts;
  const chosen = Array.from({length: first?.partCount ?? 0}, (_unused, index) =>
    parts.find(part => part.partIndex === index),
  );
  if (!first || chosen.some(part => part === undefined)) {
    throw new TypedError(
      'record-invalid',
      'A part of a checkpoint is missing.',
    );
  }
  const compressed = Buffer.concat(
    (chosen as CheckpointPart[]).map(part => part.data),
  );
  const whole = await decompress(compressed).catch((cause: Error) => {
    throw new TypedError('record-invalid', 'A checkpoint is damaged.', {cause});
  });
  if (hash(whole) !== first.digest) {
    throw new TypedError('record-invalid', 'A checkpoint has a wrong digest.');
  }
  return AgreedState.fromBytes(whole);
}

function hash(data: Uint8Array): string {
  return createHash('sha256').update(data).digest('hex');
}
