/** The messages with which nodes lease runs of suspected requests. */
import * as z from 'zod';
import {wireFactSchema} from './crash_messages.js';

const runFields = {
  fingerprint: z.string(),
  /** Identifies the run of one request at one node. */
  runId: z.string(),
  /** What the sender knows of the request. */
  facts: z.array(wireFactSchema),
};

/** From a node to the holder, which replies with a decision. */
export const suspectAskSchema = z.object({
  type: z.literal('suspect-ask'),
  ...runFields,
  maxWaitMs: z.number(),
  maxHoldMs: z.number(),
});

export const suspectDecisionSchema = z.object({
  type: z.literal('suspect-decision'),
  isGranted: z.boolean(),
  /** What the holder knows of the request. */
  facts: z.array(wireFactSchema),
});

/** From a node to the holder once the run has ended, or no longer waits. */
export const suspectReleaseSchema = z.object({
  type: z.literal('suspect-release'),
  ...runFields,
});

export type SuspectAsk = z.infer<typeof suspectAskSchema>;
export type SuspectDecision = z.infer<typeof suspectDecisionSchema>;
export type SuspectRelease = z.infer<typeof suspectReleaseSchema>;
