/** The messages between members and their validation schema. */
import {z} from 'zod';
import {type MemberRecord, type MemberUpdate} from './member.js';

const MAX_NAME_CHARS = 200;
const MAX_URL_CHARS = 400;
const MAX_PIGGYBACK_UPDATES = 64;
export const MAX_LISTED_MEMBERS = 4096;
/** Number of buckets for comparing member lists by digest. */
export const BUCKET_COUNT = 64;

const nameSchema = z.string().min(1).max(MAX_NAME_CHARS);
const urlSchema = z.string().max(MAX_URL_CHARS);
const countSchema = z.int().nonnegative();
const timeSchema = z.number().nonnegative();
const statusSchema = z.enum(['alive', 'suspect', 'leaving', 'gone']);
const digestSchema = z.int().nonnegative();

const updateSchema: z.ZodType<MemberUpdate> = z.object({
  nodeName: nameSchema,
  startedAtMs: timeSchema,
  counter: countSchema,
  status: statusSchema,
});

const recordSchema: z.ZodType<MemberRecord> = z.object({
  nodeName: nameSchema,
  incarnation: nameSchema,
  startedAtMs: timeSchema,
  peerAddress: nameSchema,
  callerBaseUrl: urlSchema,
  adminBaseUrl: urlSchema,
  failureDomain: nameSchema,
  region: nameSchema,
  release: nameSchema,
  counter: countSchema,
  status: statusSchema,
});

const piggybackSchema = z.array(updateSchema).max(MAX_PIGGYBACK_UPDATES);
const bucketSchema = z
  .int()
  .nonnegative()
  .max(BUCKET_COUNT - 1);

const probeSchema = z.object({
  type: z.literal('probe'),
  sequence: countSchema,
  updates: piggybackSchema,
});

const probeAckSchema = z.object({
  type: z.literal('probe-ack'),
  sequence: countSchema,
  /** Start of the answering process, which may have replaced the probed one. */
  startedAtMs: timeSchema,
  updates: piggybackSchema,
});

const probeRequestSchema = z.object({
  type: z.literal('probe-request'),
  sequence: countSchema,
  targetAddress: nameSchema,
  updates: piggybackSchema,
});

const joinSchema = z.object({type: z.literal('join'), member: recordSchema});

const joinAckSchema = z.object({
  type: z.literal('join-ack'),
  page: countSchema,
  pageCount: countSchema,
  members: z.array(recordSchema).max(MAX_LISTED_MEMBERS),
});

const leaveSchema = z.object({type: z.literal('leave'), update: updateSchema});

const syncSchema = z.object({type: z.literal('sync'), digest: digestSchema});

const syncDigestsSchema = z.object({
  type: z.literal('sync-digests'),
  digests: z.array(digestSchema).length(BUCKET_COUNT),
});

const syncMembersSchema = z.object({
  type: z.literal('sync-members'),
  buckets: z.array(bucketSchema).max(BUCKET_COUNT),
  updates: z.array(updateSchema).max(MAX_LISTED_MEMBERS),
  isReply: z.boolean(),
});

const detailsRequestSchema = z.object({
  type: z.literal('details-request'),
  nodeNames: z.array(nameSchema).max(MAX_LISTED_MEMBERS),
});

const detailsSchema = z.object({
  type: z.literal('details'),
  members: z.array(recordSchema).max(MAX_LISTED_MEMBERS),
});

/** Validates messages received from peers. */
export const membershipMessageSchema = z.discriminatedUnion('type', [
  probeSchema,
  probeAckSchema,
  probeRequestSchema,
  joinSchema,
  joinAckSchema,
  leaveSchema,
  syncSchema,
  syncDigestsSchema,
  syncMembersSchema,
  detailsRequestSchema,
  detailsSchema,
]);

export type MembershipMessage = z.infer<typeof membershipMessageSchema>;

export type MessageOf<T extends MembershipMessage['type']> = Extract<
  MembershipMessage,
  {type: T}
>;

/** A message for the caller to send. */
export interface OutgoingMessage {
  toAddress: string;
  message: MembershipMessage;
}
