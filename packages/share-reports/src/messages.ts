/** The messages between nodes, with the schema that refuses bad ones. */
import {z} from 'zod';

/** More backend servers than any deployment has. */
const MAX_RUNNERS = 8192;
const MAX_SLOTS = 4096;
const MAX_UINT32 = 2 ** 32 - 1;
const MAX_BIT = 31;
/** How many groups warm states are put in to compare them by digest. */
export const BUCKET_COUNT = 16;

const uint32 = z.int().min(0).max(MAX_UINT32);
const count = z.int().nonnegative();
const index = z
  .int()
  .min(0)
  .max(MAX_RUNNERS - 1);

/** What a group of loads holds for each backend server, beside its index. */
export const LOAD_KINDS = ['idle', 'running', 'queued', 'silent'] as const;

/** How much is told of a load: idle and silent ones need no numbers. */
export type LoadKind = (typeof LOAD_KINDS)[number];

/** How many numbers follow the index. */
export const LOAD_KIND_WIDTHS: Record<LoadKind, number> = {
  idle: 0,
  running: 1,
  queued: 2,
  silent: 0,
};

/** The place of a group's kind and of its age; its loads follow. */
export const GROUP_HEAD_LENGTH = 2;

/**
 * Loads with the same kind and stamp, as bare numbers, since names would take
 * more bytes than the loads: the kind's place in `LOAD_KINDS`, how much older
 * the stamp is than the newest of the message, then for each backend server
 * its index, as the difference to the one before, and the levels of running
 * and queued requests as the kind says.
 */
const loadGroupSchema = z
  .array(count)
  .min(GROUP_HEAD_LENGTH)
  .max(GROUP_HEAD_LENGTH + 3 * MAX_RUNNERS)
  .refine(([kindPlace = 0, _ageUnits, ...values]) => {
    const kind = LOAD_KINDS[kindPlace];
    return (
      kind !== undefined && values.length % (1 + LOAD_KIND_WIDTHS[kind]) === 0
    );
  });

/** A warm state as bare values, since names would take most of the bytes. */
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
  /** Digest of the table that gives the indexes and the epochs. */
  table: uint32,
  /** The sender is 2 to the power of this away on the ring. */
  bit: z.int().min(0).max(MAX_BIT),
  stampUnits: count,
  groups: z.array(loadGroupSchema).max(MAX_RUNNERS),
});

const statusesSchema = z.object({
  type: z.literal('statuses'),
  /** Digest of the table that gives the indexes. */
  table: uint32,
  statuses: z.array(statusSchema).max(MAX_RUNNERS),
  /** Whether it is the whole picture, for a node that has started. */
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
  statuses: z.array(statusSchema).max(MAX_RUNNERS),
});

/** Refuses every message that does not have one of the known forms. */
export const reportMessageSchema = z.discriminatedUnion('type', [
  loadsSchema,
  statusesSchema,
  statusRequestSchema,
  statusDigestsSchema,
  statusBucketsSchema,
]);

/** A message on reports between two nodes. */
export type ReportMessage = z.infer<typeof reportMessageSchema>;

/** The message of one type. */
export type MessageOf<T extends ReportMessage['type']> = Extract<
  ReportMessage,
  {type: T}
>;

/** Loads with the same kind and stamp, as `loadGroupSchema` says. */
export type LoadGroup = z.infer<typeof loadGroupSchema>;
/** A warm state whose backend server is told by its index. */
export type IndexedStatus = z.infer<typeof statusSchema>;

/** A message that the caller is to send. */
export interface OutgoingReport {
  toAddress: string;
  message: ReportMessage;
}
