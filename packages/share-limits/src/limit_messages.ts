/** Schemas of the limits in the heartbeats between nodes. */
import * as z from 'zod';

const limitEntrySchema = z.object({
  serverId: z.string(),
  /** Start of the server's incarnation; null if unknown. */
  startedAtMs: z.number().nullable(),
  /** Null if the limit was lifted. */
  perSecond: z.number().nonnegative().nullable(),
  /** Time since the limit changed. */
  ageMs: z.number(),
});

/** From a node to the holder of the duty. */
export const limitReportSchema = z.object({
  /** The holder's list that the node has; null for none. */
  knownListId: z.string().nullable(),
  /** Null if the holder has the node's current list. */
  entries: z.array(limitEntrySchema).nullable(),
});

/** The holder's answer. */
export const limitReplySchema = z.object({
  listId: z.string(),
  /** Null if the node already has the list. */
  entries: z.array(limitEntrySchema).nullable(),
});

export type LimitEntry = z.infer<typeof limitEntrySchema>;
export type LimitReport = z.infer<typeof limitReportSchema>;
export type LimitReply = z.infer<typeof limitReplySchema>;
