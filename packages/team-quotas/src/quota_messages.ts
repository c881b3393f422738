/** What nodes and the holder tell each other of quotas, with heartbeats. */
import * as z from 'zod';

/** From a node: what it has spent that the holder does not know of. */
export const quotaReportSchema = z.object({
  /** Grows with each report of a node. */
  reportId: z.number(),
  /** The last report that was answered; what it held is not repeated. */
  answeredId: z.number(),
  /** Below 0 for what was given back. */
  spent: z.array(z.object({team: z.string(), amount: z.number()})),
});

/** From the holder. */
export const quotaReplySchema = z.object({
  /** The report that it answers; null when there was none. */
  reportId: z.number().nullable(),
  /** Teams that have less than half of a full bucket left. */
  low: z.array(z.object({team: z.string(), level: z.number()})),
});

export type QuotaReport = z.infer<typeof quotaReportSchema>;
export type QuotaReply = z.infer<typeof quotaReplySchema>;
