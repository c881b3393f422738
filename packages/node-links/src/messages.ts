/** All messages between nodes. */
import {
  crashReplySchema,
  crashReportSchema,
} from '@mimosatack/contain-requests';
import {fromHolderSchema, toHolderSchema} from '@mimosatack/schedule-service';
import {quotaReplySchema, quotaReportSchema} from '@mimosatack/team-quotas';
import * as z from 'zod';
import {nodeSchema} from './known_node.js';

const statusSchema = z.object({
  nodeName: z.string(),
  incarnation: z.string(),
  /** Whether callers may be sent to it. */
  isServing: z.boolean(),
  uptimeMs: z.number(),
  configurationVersion: z.number(),
  serversEndOffset: z.number(),
  /** Nodes of the release before do not tell it. */
  nodesEndOffset: z.number().default(0),
  /** The list of serving nodes that it has from the holder; null for none. */
  servingListId: z.string().nullable().default(null),
  /** Of servers that ended under requests; null from the release before. */
  crashes: crashReportSchema.nullable().default(null),
  /** What it spent of teams' quotas; null from the release before. */
  quotas: quotaReportSchema.nullable().default(null),
  /**
   * As of when it knows that its configuration is the newest, on the holder's
   * own clock, by the last welcome; null when it can't tell.
   */
  confirmedBeatMs: z.number().nullable().default(null),
  /**
   * Not to claim the duty from the holder of this token for `forMs`, counted
   * from the holder's own time `beatMs`, which its last welcome told.
   */
  promise: z
    .object({token: z.number(), beatMs: z.number(), forMs: z.number()})
    .nullable(),
});

function isBytes(value: unknown): boolean {
  return value instanceof Uint8Array;
}

const recordSchema = z.object({
  key: z.string(),
  value: z.custom<Uint8Array>(isBytes).nullable(),
  offset: z.number(),
});

const recordsSchema = z.object({
  type: z.literal('records'),
  topic: z.enum(['configuration', 'servers', 'nodes']),
  fromOffset: z.number(),
  endOffset: z.number(),
  records: z.array(recordSchema),
});

const holderSchema = z.object({
  nodeName: z.string(),
  incarnation: z.string(),
  address: z.string(),
  token: z.number(),
});

export const messageSchema = z.discriminatedUnion('type', [
  /** Sent again and again to the holder; the reply is `welcome`. */
  z.object({type: z.literal('hello'), status: statusSchema}),
  z.object({
    type: z.literal('welcome'),
    incarnation: z.string(),
    /** When it was sent, on the sender's monotonic clock. */
    beatMs: z.number(),
    holder: holderSchema.nullable(),
    /** Changes with each change of the list, and with the holder. */
    servingListId: z.string().nullable().default(null),
    /**
     * Nodes that callers may be sent to, as the holder knows; null for the list
     * that the other one has.
     */
    servingNodes: z.array(z.string()).nullable(),
    /** How long ago the store told it of the servers; null for never. */
    serversAgeMs: z.number().nullable(),
    configurationVersion: z.number(),
    serversEndOffset: z.number(),
    nodesEndOffset: z.number().default(0),
    crashes: crashReplySchema.nullable().default(null),
    quotas: quotaReplySchema.nullable().default(null),
    /** When it was sent, on a clock of the sender that counts suspension. */
    awakeBeatMs: z.number().nullable().default(null),
    /** How long ago its configuration was known to be the newest. */
    confirmedAgeMs: z.number().nullable().default(null),
  }),
  /**
   * From the holder to a node that it does not hear: one that has just started
   * may know nobody, and can not read the store. It answers by a `hello`.
   */
  z.object({
    type: z.literal('introduction'),
    holder: holderSchema,
    nodes: z.array(nodeSchema),
  }),
  /** From a holder that orders no more: which engines it has ordered lately. */
  z.object({
    type: z.literal('last-orders'),
    incarnation: z.string(),
    orders: z.array(z.object({engineId: z.string(), ageMs: z.number()})),
    /** Whether its process ends; otherwise it has given the duty away. */
    isEnding: z.boolean(),
  }),
  z.object({type: z.literal('ask-heard'), token: z.number()}),
  z.object({type: z.literal('heard'), isHeard: z.boolean()}),
  /** Asks for records from an offset on; the reply is `records`. */
  z.object({
    type: z.literal('ask-records'),
    topic: z.enum(['configuration', 'servers', 'nodes']),
    fromOffset: z.number(),
  }),
  recordsSchema,
  z.object({type: z.literal('to-holder'), body: toHolderSchema}),
  z.object({type: z.literal('from-holder'), body: fromHolderSchema}),
]);

/** What nodes say to each other. */
export type NodeMessage = z.infer<typeof messageSchema>;
export type HelloStatus = z.infer<typeof statusSchema>;
export type LastOrdersMessage = Extract<NodeMessage, {type: 'last-orders'}>;
export type Welcome = Extract<NodeMessage, {type: 'welcome'}>;
export type RecordsMessage = z.infer<typeof recordsSchema>;
export type SharedTopic = RecordsMessage['topic'];
