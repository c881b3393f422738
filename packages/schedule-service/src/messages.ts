/** Messages between the nodes and the scheduling node. */
import {availabilityReportSchema} from '@mimosatack/track-availability';
import * as z from 'zod';

const chargeSchema = z.object({
  team: z.string(),
  amount: z.number(),
  isForced: z.boolean(),
});

const askSchema = z.object({
  askId: z.string(),
  /** The caller's request id, which correlates the log lines of both nodes. */
  requestId: z.string(),
  service: z.string(),
  /** Null for a place at a plain server; the previous release always names one. */
  model: z.string().nullable(),
  adapter: z.string().nullable(),
  promptTokens: z.number(),
  outputTokens: z.number(),
  priority: z.number(),
  /** Times are durations, since the clocks of two nodes differ. */
  waitedMs: z.number(),
  dueInMs: z.number(),
  /** The longest pause between events that is on time; null for no limit. */
  gapMs: z.number().nullable(),
  endsInMs: z.number(),
  excluded: z.array(z.string()),
  allowed: z.array(z.string()).nullable(),
  /** The software version that the stream began at; the previous release sends none. */
  softwareVersion: z.string().nullable().default(null),
  /** The charge to the team's quota; the previous release sends none. */
  charge: chargeSchema.nullable().default(null),
  /** The team of the caller's key; the previous release sends none. */
  team: z.string().nullable().default(null),
  /** When the node ends the request at the latest; the previous release does not say. */
  runEndsInMs: z.number().nullable().default(null),
});

const runResultSchema = z.enum([
  'served',
  'not-taken',
  'not-held',
  'failed',
  'unreachable',
  'neutral',
]);

/** From a node to the scheduling node. */
export const toHolderMessageSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('ask'), ask: askSchema}),
  z.object({type: z.literal('withdraw'), askId: z.string()}),
  z.object({
    type: z.literal('run-ended'),
    askId: z.string(),
    engineId: z.string(),
    result: runResultSchema,
    /** Time until the answer began; null if it did not. */
    headMs: z.number().nullable(),
    /** Whether the request was never sent to the engine. */
    isUnsent: z.boolean().default(false),
    /**
     * How long work takes on the engine's machine at this moment, in percent of the usual
     * time; null if the engine has not said it. The previous release sends none.
     */
    slowdownPercent: z.number().nullable().default(null),
  }),
  /** A charge that exceeds the unsettled share of the sending node. */
  z.object({
    type: z.literal('charge'),
    askId: z.string(),
    charge: chargeSchema,
  }),
  /** Asks to send one request to a server that names a limit. */
  z.object({
    type: z.literal('permit'),
    askId: z.string(),
    serverId: z.string(),
    /** How long the request waits for this server; 0 if it does not. */
    maxWaitMs: z.number(),
  }),
  /** A server is under pressure, or names terms that require coordination. */
  z.object({
    type: z.literal('pressure'),
    service: z.string(),
    serverId: z.string(),
    startedAtMs: z.number().nullable(),
    cause: z.enum(['rejection', 'load', 'brittle', 'limit']),
    brittlePerSecond: z.number().nullable(),
  }),
  /**
   * A node's pending asks and running requests and what it knows of servers, for a new
   * scheduling node; or what it has just learned of a server.
   */
  z.object({
    type: z.literal('under-way'),
    /** The sending process; the previous release sends none. */
    incarnation: z.string().nullable().default(null),
    asks: z.array(askSchema),
    runs: z.array(z.object({ask: askSchema, engineId: z.string()})),
    /** The previous release sends none. */
    servers: z.array(availabilityReportSchema).default([]),
  }),
]);

/** From the scheduling node to one node. */
export const fromHolderMessageSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('assigned'),
    askId: z.string(),
    engineId: z.string(),
    /** The engine's software version; the previous release sends none. */
    softwareVersion: z.string().nullable().default(null),
  }),
  z.object({
    type: z.literal('refused'),
    askId: z.string(),
    reason: z.enum([
      'unknown-model',
      'weights-remote',
      'no-room',
      'version-gone',
      'over-quota',
    ]),
    retryAfterMs: z.number(),
    /** When the request would have started; null if unknown, as with the previous release. */
    forecastMs: z.number().nullish(),
  }),
  /** The answer to `charge`; `refusal` is null when the quota was charged. */
  z.object({
    type: z.literal('charged'),
    askId: z.string(),
    refusal: z
      .object({
        level: z.number(),
        retryAfterMs: z.number(),
        isUnsettled: z.boolean(),
        decidedBy: z.enum(['holder', 'node']),
      })
      .nullable(),
  }),
  /** The answer to `permit`: 0, or the time until the request may be sent. */
  z.object({
    type: z.literal('permitted'),
    askId: z.string(),
    waitMs: z.number(),
  }),
  /** The ask waits for a place: the scheduling node is there, and decides later. */
  z.object({type: z.literal('queued'), askId: z.string()}),
  /** The services whose places the scheduling node assigns, whenever the set changes. */
  z.object({
    type: z.literal('coordinated-services'),
    services: z.array(z.string()),
  }),
  /** The ask, charge or permit reached a node that is not the scheduling node. */
  z.object({type: z.literal('not-scheduling'), askId: z.string()}),
]);

/** A request as it is described to the scheduling node. */
export type AskPayload = z.infer<typeof askSchema>;
/** An ask for an engine that holds a model. */
export type ModelAsk = AskPayload & {model: string};
export type ToHolderMessage = z.infer<typeof toHolderMessageSchema>;
export type FromHolderMessage = z.infer<typeof fromHolderMessageSchema>;

/** A message that answers a pending request of the node. */
export type HolderAnswer = Exclude<
  FromHolderMessage,
  {type: 'coordinated-services'}
>;

export function isModelAsk(ask: AskPayload): ask is ModelAsk {
  return ask.model !== null;
}
