/** What nodes and the node that schedules say to each other. */
import * as z from 'zod';

const chargeSchema = z.object({
  team: z.string(),
  amount: z.number(),
  isForced: z.boolean(),
});

const askSchema = z.object({
  askId: z.string(),
  /** The caller's id, so that both nodes' log lines can be found by it. */
  requestId: z.string(),
  service: z.string(),
  model: z.string(),
  adapter: z.string().nullable(),
  promptTokens: z.number(),
  outputTokens: z.number(),
  priority: z.number(),
  /** Times are told as spans, since the clocks of two nodes differ. */
  waitedMs: z.number(),
  dueInMs: z.number(),
  /** The longest pause between events that is on time; null for none. */
  gapMs: z.number().nullable(),
  endsInMs: z.number(),
  excluded: z.array(z.string()),
  allowed: z.array(z.string()).nullable(),
  /** What it takes out of its team's quota; null from the release before. */
  charge: chargeSchema.nullable().default(null),
});

const runResultSchema = z.enum([
  'served',
  'not-taken',
  'not-held',
  'failed',
  'unreachable',
  'neutral',
]);

/** From a node to the node that schedules. */
export const toHolderSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('ask'), ask: askSchema}),
  z.object({type: z.literal('withdraw'), askId: z.string()}),
  z.object({
    type: z.literal('run-ended'),
    askId: z.string(),
    engineId: z.string(),
    result: runResultSchema,
    /** Until the answer began; null if it did not. */
    headMs: z.number().nullable(),
    /** Whether it was not sent to the engine at all. */
    isUnsent: z.boolean().default(false),
  }),
  /** A plain request that its own node must not charge by itself. */
  z.object({
    type: z.literal('charge'),
    askId: z.string(),
    charge: chargeSchema,
  }),
  /** All that a node has under way, for a node that has just taken over. */
  z.object({
    type: z.literal('under-way'),
    asks: z.array(askSchema),
    runs: z.array(z.object({ask: askSchema, engineId: z.string()})),
  }),
]);

/** From the node that schedules to one node. */
export const fromHolderSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('assigned'),
    askId: z.string(),
    engineId: z.string(),
  }),
  z.object({
    type: z.literal('refused'),
    askId: z.string(),
    reason: z.enum([
      'unknown-model',
      'weights-remote',
      'no-room',
      'over-quota',
    ]),
    retryAfterMs: z.number(),
  }),
  /** The answer to `charge`; null when it is charged. */
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
  /** This node does not schedule, whatever the other one has heard. */
  z.object({type: z.literal('not-scheduling'), askId: z.string()}),
]);

/** A request as it is told to the node that schedules. */
export type AskTerms = z.infer<typeof askSchema>;
export type ToHolder = z.infer<typeof toHolderSchema>;
export type FromHolder = z.infer<typeof fromHolderSchema>;
