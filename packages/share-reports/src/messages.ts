/** The messages between nodes and the schema that validates them. */
import {z} from 'zod';

/** Limits the size of a message; larger than any deployment. */
const MAX_BACKEND_SERVERS = 8192;
const MAX_SLOTS = 4096;
const MAX_UINT32 = 2 ** 32 - 1;
const MAX_BIT = 31;
/** The number of groups in which warm states are compared by digest. */
export const BUCKET_COUNT = 16;

const uint32 = z.int().min(0).max(MAX_UINT32);
const count = z.int().nonnegative();
const index = z
  .int()
  .min(0)
  .max(MAX_BACKEND_SERVERS - 1);

export const LOAD_KINDS = ['idle', 'running', 'queued', 'silent'] as const;

/**
 * Which request counts a load has: `idle` none, `running` no queued requests,
 * `queued` both. `silent`: the load is unknown.
 */
export type LoadKind = (typeof LOAD_KINDS)[number];

/** The number of request counts that follow the index. */
export const LOAD_KIND_WIDTHS: Record<LoadKind, number> = {
  idle: 0,
  running: 1,
  queued: 2,
  silent: 0,
};

/** The kind and the age of a group, which precede its loads. */
export const GROUP_HEADER_LENGTH = 2;

/**
 * Loads with the same kind and stamp as a flat list of numbers, since keys
 * would take more bytes than the values: the index of the kind in `LOAD_KINDS`,
 * the age of the stamp relative to the newest one of the message, then for each
 * backend server the difference of its index to the previous index and the
 * levels of running and queued requests that the kind requires.
 */
const loadGroupSchema = z
  .array(count)
  .min(GROUP_HEADER_LENGTH)
  .max(GROUP_HEADER_LENGTH + 3 * MAX_BACKEND_SERVERS)
  .refine(([kindIndex = 0, _ageUnits, ...values]) => {
    const kind = LOAD_KINDS[kindIndex];
    return (
      kind !== undefined && values.length % (1 + LOAD_KIND_WIDTHS[kind]) === 0
    );
  });

/** A warm state as a tuple, since keys would take most of the bytes. */
const statusSchema = z.tuple([
  index.describe('backend server'),
  count.describe('epoch'),
  z.int().min(0).max(15).describe('rank'),
  count.describe('count'),
  uint32.describe('incarnation hash'),
  z.boolean().describe('is reachable'),
  count.describe('most running requests'),
  z.array(uint32).max(MAX_SLOTS).describe('warm slots'),
  z.array(uint32).max(MAX_SLOTS).describe('busy slots'),
]);

const loadsSchema = z.object({
  type: z.literal('loads'),
  /** Digest of the table that defines the indexes and the epochs. */
  table: uint32,
  /** The distance to the sender on the ring is 2 to the power of `bit`. */
  bit: z.int().min(0).max(MAX_BIT),
  stampUnits: count,
  groups: z.array(loadGroupSchema).max(MAX_BACKEND_SERVERS),
});

const statusesSchema = z.object({
  type: z.literal('statuses'),
  /** Digest of the table that defines the indexes. */
  table: uint32,
  statuses: z.array(statusSchema).max(MAX_BACKEND_SERVERS),
  /** Whether the message holds all warm states, for a node that has started. */
  isWhole: z.boolean(),
});

const statusRequestSchema = z.object({type: z.literal('status-request')});

const statusDigestsSchema = z.object({
  type: z.literal('status-digests'),
  digests: z.array(uint32).length(BUCKET_COUNT),
});

const statusBucketsSchema = z.object({
  type: z.literal('status-buckets'),
  table: uint32,
  buckets: z
    .array(
      z
        .int()
        .min(0)
        .max(BUCKET_COUNT - 1),
    )
    .max(BUCKET_COUNT),
  statuses: z.array(statusSchema).max(MAX_BACKEND_SERVERS),
});

/** Accepts only well-formed messages of the known types. */
export const reportMessageSchema = z.discriminatedUnion('type', [
  loadsSchema,
  statusesSchema,
  statusRequestSchema,
  statusDigestsSchema,
  statusBucketsSchema,
]);

export type ReportMessage = z.infer<typeof reportMessageSchema>;

export type MessageOf<T extends ReportMessage['type']> = Extract<
  ReportMessage,
  {type: T}
>;

export type LoadGroup = z.infer<typeof loadGroupSchema>;
/** A warm state that identifies its backend server by index. */
export type IndexedStatus = z.infer<typeof statusSchema>;

/** A message for the caller to send. */
export interface OutgoingReport {
  toAddress: string;
  message: ReportMessage;
}
