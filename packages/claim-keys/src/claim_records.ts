/**
 * The records of the claim streams. One append carries a batch by one author;
 * its claims are valid or not by their place in the stream alone.
 */
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

/** The form of a batch; a reader takes other forms for a gap. */
const BATCH_FORM = 1;

const hash = z.string().min(1).max(64);
const count = z.number().int().min(0);
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);

const keptAnswer = z.object({
  statusCode: count,
  contentType: z.string().max(256),
  body: bytes,
});

const claimShape = {
  keyHash: hash,
  /** Names what the key asks for. */
  requestHash: hash,
  /** The date in the key. */
  issuedAtMs: count,
  /** Together with the author, names the claim. */
  claimNumber: count,
  /** How many claims of the key were released before this one. */
  attempt: count,
};

const claim = z.object({type: z.literal('claim'), ...claimShape});

/** Its author proves that nothing was handed over under the claim. */
const release = z.object({type: z.literal('release'), ...claimShape});

const outcome = z.object({
  type: z.literal('outcome'),
  ...claimShape,
  outcome: z.enum(['ran', 'unknown']),
  /** Left out when the answer is too large for the log. */
  answer: keptAnswer.nullable(),
});

const recordSchema = z.discriminatedUnion('type', [claim, release, outcome]);

const batchSchema = z.object({
  form: z.literal(BATCH_FORM),
  /** The incarnation of the node that wrote the batch. */
  author: z.string().min(1).max(128),
  /** The author's wall clock when it sent the batch. */
  writtenAtMs: count,
  /** Empty in a batch that only tells the time. */
  records: z.array(recordSchema),
});

export type ClaimRecord = z.infer<typeof claim>;
export type ReleaseRecord = z.infer<typeof release>;
export type OutcomeRecord = z.infer<typeof outcome>;
export type ClaimStreamRecord = z.infer<typeof recordSchema>;
export type ClaimBatch = Omit<z.infer<typeof batchSchema>, 'form'>;

/** Encodes a batch for one append. */
export function encodeClaimBatch(batch: ClaimBatch): Uint8Array {
  return pack({form: BATCH_FORM, ...batch});
}

/** Decodes one append; null when it is no batch of a known form. */
export function decodeClaimBatch(data: Uint8Array): ClaimBatch | null {
  const parsed = batchSchema.safeParse(unpackOrNull(data));
  return parsed.success ? parsed.data : null;
}

function unpackOrNull(data: Uint8Array): unknown {
  try {
    return unpack(data);
  } catch {
    return null;
  }
}
