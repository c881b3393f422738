/**
 * Record formats of the claim streams. One append carries a batch of records
 * from one author; a claim's position in the stream decides if it is granted.
 */
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

/** Format version of a batch; readers treat other versions as a gap. */
const BATCH_FORMAT_VERSION = 1;

const hashSchema = z.string().min(1).max(64);
const countSchema = z.number().int().min(0);
const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array);

const keptAnswerSchema = z.object({
  statusCode: countSchema,
  contentType: z.string().max(256),
  body: bytesSchema,
});

const claimFields = {
  keyHash: hashSchema,
  /** Hash of the request that uses the key. */
  requestHash: hashSchema,
  /** Creation time in the key. */
  issuedAtMs: countSchema,
  /** Identifies the claim together with the author. */
  claimNumber: countSchema,
  /** Number of earlier claims of the key that were released. */
  attempt: countSchema,
};

const claimSchema = z.object({type: z.literal('claim'), ...claimFields});

/** The author confirms that no request was dispatched under the claim. */
const releaseSchema = z.object({type: z.literal('release'), ...claimFields});

const outcomeSchema = z.object({
  type: z.literal('outcome'),
  ...claimFields,
  outcome: z.enum(['ran', 'unknown']),
  /** Null when the response is too large for the log. */
  answer: keptAnswerSchema.nullable(),
});

const recordSchema = z.discriminatedUnion('type', [
  claimSchema,
  releaseSchema,
  outcomeSchema,
]);

const batchSchema = z.object({
  form: z.literal(BATCH_FORMAT_VERSION),
  /** Incarnation of the node that wrote the batch. */
  author: z.string().min(1).max(128),
  /** Wall clock of the author when it sent the batch. */
  writtenAtMs: countSchema,
  /** Empty in a heartbeat batch. */
  records: z.array(recordSchema),
});

export type ClaimRecord = z.infer<typeof claimSchema>;
export type ReleaseRecord = z.infer<typeof releaseSchema>;
export type OutcomeRecord = z.infer<typeof outcomeSchema>;
export type ClaimStreamRecord = z.infer<typeof recordSchema>;
export type ClaimBatch = Omit<z.infer<typeof batchSchema>, 'form'>;

export function encodeClaimBatch(batch: ClaimBatch): Uint8Array {
  return pack({form: BATCH_FORMAT_VERSION, ...batch});
}

/** Returns null if the data is not a batch of a known format version. */
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
