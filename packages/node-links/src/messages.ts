/** Schemas of the messages between nodes. */
import {
  crashReplySchema,
  crashReportSchema,
  suspectAskSchema,
  suspectDecisionSchema,
  suspectReleaseSchema,
} from '@mimosatack/contain-requests';
import {
  fromHolderMessageSchema,
  toHolderMessageSchema,
} from '@mimosatack/schedule-service';
import {limitReplySchema, limitReportSchema} from '@mimosatack/share-limits';
import {
  askStreamSchema,
  streamReplySchema,
  streamsBegunSchema,
} from '@mimosatack/track-streams';
import {quotaReplySchema, quotaReportSchema} from '@mimosatack/team-quotas';
import {
  durationMsSchema,
  hostPortSchema,
  nameSchema,
  offsetSchema,
  ordinalSchema,
} from '@mimosatack/types';
import * as z from 'zod';
import {nodeSchema} from './registered_node.js';

/** -1 before the first configuration. */
const versionSchema = z.union([ordinalSchema, z.literal(-1)]);

const statusSchema = z.object({
  nodeName: nameSchema,
  incarnation: nameSchema,
  /** Whether the node accepts requests from callers. */
  isServing: z.boolean(),
  uptimeMs: z.number(),
  /** Absent in messages of the previous release. */
  reachesServers: z.boolean().default(true),
  configurationVersion: versionSchema,
  serversEndOffset: offsetSchema,
  /** Absent in messages of the previous release. */
  nodesEndOffset: offsetSchema.default(0),
  /** Version of the serving list that the node holds; null if it has none. */
  servingListId: z.string().nullable().default(null),
  /** Servers that crashed under requests; null from the previous release. */
  crashes: crashReportSchema.nullable().default(null),
  /** Usage of team quotas; null from the previous release. */
  quotas: quotaReportSchema.nullable().default(null),
  /** Limits that servers name; null from the previous release. */
  limits: limitReportSchema.nullable().default(null),
  /** Whether the node understands messages about places; absent in the previous release. */
  knowsPlaces: z.boolean().default(false),
  /**
   * When the sender's configuration was last known to be current, on the
   * receiver's clock (see `awakeBeatMs`); null if unknown. The previous release
   * has another field for it, which it reads from any sender for any process.
   */
  configurationAsOfBeatMs: z.number().nullable().default(null),
  /**
   * Lease grant: the sender does not claim the duty from the holder of `token`
   * for `forMs` after `beatMs`, which the holder's last `welcome` carried.
   */
  promise: z
    .object({
      token: offsetSchema,
      beatMs: z.number(),
      forMs: durationMsSchema,
    })
    .nullable(),
});

function isBytes(value: unknown): boolean {
  return value instanceof Uint8Array;
}

const recordSchema = z.object({
  key: z.string(),
  value: z.custom<Uint8Array>(isBytes).nullable(),
  offset: offsetSchema,
});

const recordsSchema = z.object({
  type: z.literal('records'),
  topic: z.enum(['configuration', 'servers', 'nodes']),
  fromOffset: offsetSchema,
  endOffset: offsetSchema,
  records: z.array(recordSchema),
});

const holderSchema = z.object({
  nodeName: nameSchema,
  incarnation: nameSchema,
  address: hostPortSchema,
  token: offsetSchema,
  /** Absent if the holder claimed the duty, and in the previous release. */
  handedOverBy: z.string().optional(),
});

const helloSchema = z.object({
  type: z.literal('hello'),
  /**
   * The process that the heartbeat is for; another one may have started at its
   * address. Null from the previous release. See `readHello`.
   */
  to: nameSchema.nullable().default(null),
  status: statusSchema,
});

export const messageSchema = z.discriminatedUnion('type', [
  /** Periodic heartbeat to the duty holder, which replies with `welcome`. */
  helloSchema,
  z.object({
    type: z.literal('welcome'),
    incarnation: z.string(),
    /** Send time on the sender's monotonic clock. */
    beatMs: z.number(),
    holder: holderSchema.nullable(),
    /** Version of the serving list; unique across holders. */
    servingListId: z.string().nullable().default(null),
    /**
     * Names of the nodes that accept requests from callers; null if the
     * receiver already has the version `servingListId`.
     */
    servingNodes: z.array(z.string()).nullable(),
    /** Time since the sender read the servers from the store; null for never. */
    serversAgeMs: z.number().nullable(),
    configurationVersion: versionSchema,
    serversEndOffset: offsetSchema,
    nodesEndOffset: offsetSchema.default(0),
    /** Whether the sender's list of nodes is current; false if unknown. */
    isNodeListConfirmed: z.boolean().default(false),
    crashes: crashReplySchema.nullable().default(null),
    quotas: quotaReplySchema.nullable().default(null),
    limits: limitReplySchema.nullable().default(null),
    /**
     * Services without models whose places the sender assigns; null from the previous
     * release, which closes the connection at a message about places.
     */
    coordinatedServices: z.array(z.string()).nullable().default(null),
    /** Send time on the sender's clock that includes host suspension. */
    awakeBeatMs: z.number().nullable().default(null),
    /** Time since the sender's configuration was known to be current. */
    confirmedAgeMs: z.number().nullable().default(null),
  }),
  /**
   * Sent by the holder to a silent node, which answers with `hello`. A node that
   * starts while the store is unavailable learns of the cluster from it.
   */
  z.object({
    type: z.literal('introduction'),
    holder: holderSchema,
    nodes: z
      .array(nodeSchema.nullable().catch(null))
      .transform(nodes => nodes.filter(node => node !== null)),
  }),
  /** Sent by a holder that stops scheduling: the recent orders per engine. */
  z.object({
    type: z.literal('last-orders'),
    incarnation: z.string(),
    orders: z.array(z.object({engineId: z.string(), ageMs: z.number()})),
    /** Time since the last order to any engine, named or not; null for none. */
    anyEngineAgeMs: z.number().nullable().default(null),
    /** The token of the new holder; null if the process ends. */
    successorToken: offsetSchema.nullable().default(null),
    /** Whether the orders of earlier holders are included; not in the previous release. */
    isComplete: z.boolean().default(false),
    /** True if the process exits, false if it only handed over the duty. */
    isEnding: z.boolean(),
  }),
  /** Asks whether the receiver is in contact with the holder of `token`. */
  z.object({type: z.literal('ask-heard'), token: offsetSchema}),
  z.object({
    type: z.literal('heard'),
    isHeard: z.boolean(),
    /** The sender, as its address may have been another node's; absent in the previous release. */
    nodeName: nameSchema.optional(),
    /** Whether it accepts requests from callers; absent in the previous release. */
    isServing: z.boolean().default(true),
  }),
  /** Requests records from `fromOffset`; the reply is `records`. */
  z.object({
    type: z.literal('ask-records'),
    topic: z.enum(['configuration', 'servers', 'nodes']),
    fromOffset: offsetSchema,
  }),
  recordsSchema,
  z.object({type: z.literal('to-holder'), body: toHolderMessageSchema}),
  z.object({type: z.literal('from-holder'), body: fromHolderMessageSchema}),
  suspectAskSchema,
  suspectDecisionSchema,
  suspectReleaseSchema,
  streamsBegunSchema,
  askStreamSchema,
  streamReplySchema,
]);

export type NodeMessage = z.infer<typeof messageSchema>;
export type Hello = z.infer<typeof helloSchema>;
export type HelloStatus = z.infer<typeof statusSchema>;
export type LastOrdersMessage = Extract<NodeMessage, {type: 'last-orders'}>;
export type Welcome = Extract<NodeMessage, {type: 'welcome'}>;
export type RecordsMessage = z.infer<typeof recordsSchema>;
export type SharedTopic = RecordsMessage['topic'];
