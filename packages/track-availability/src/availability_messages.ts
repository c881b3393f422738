/** Schema of what a node tells the scheduling node about servers. */
import * as z from 'zod';

export const availabilityReportSchema = z.object({
  serverId: z.string(),
  /** Start of the server's incarnation; null if unknown. */
  startedAtMs: z.number().nullable(),
  isLeaving: z.boolean(),
  /** How long the server wants no request of the reporting node; 0 for no pause. */
  pauseMs: z.number().nonnegative(),
});

export type AvailabilityReport = z.infer<typeof availabilityReportSchema>;
