/** Quota reports and replies, which are sent with heartbeats. */
import * as z from 'zod';

/** From a node to the holder: spending that is not settled yet. */
export const quotaReportSchema = z.object({
  /** Increases with each report of a node. */
  reportId: z.number(),
  /** The last report that was answered, whose spending is not repeated. */
  answeredId: z.number(),
  /** Amounts are negative for refunds. */
  spent: z.array(z.object({team: z.string(), amount: z.number()})),
});

/** From the holder to a node. */
export const quotaReplySchema = z.object({
  /** The report that this reply answers; null when there was none. */
  reportId: z.number().nullable(),
  /** Teams whose bucket is less than half full. */
  low: z.array(z.object({team: z.string(), level: z.number()})),
});

export type QuotaReport = z.infer<typeof quotaReportSchema>;
export type QuotaReply = z.infer<typeof quotaReplySchema>;
