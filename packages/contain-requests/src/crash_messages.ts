/** What nodes tell each other of servers that ended under requests. */
import * as z from 'zod';
import {type CrashFact} from './crash_evidence.js';

const toldFactSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('cut'),
    fingerprint: z.string(),
    serverLife: z.string(),
    /** Times are told as spans, since the clocks of two nodes differ. */
    ageMs: z.number().nonnegative(),
    isTry: z.boolean(),
  }),
  z.object({
    kind: z.literal('served'),
    fingerprint: z.string(),
    ageMs: z.number().nonnegative(),
  }),
]);

/** From a node to the holder, with its heartbeat. */
export const crashReportSchema = z.object({
  /** What the holder has not confirmed yet. */
  facts: z.array(toldFactSchema),
  /** The last of its own facts that these reach. */
  sequence: z.number(),
  /** The last of the holder's facts that it has. */
  knownSequence: z.number(),
});

/** From the holder, with its reply. */
export const crashReplySchema = z.object({
  facts: z.array(toldFactSchema),
  /** The last of the holder's facts that these reach. */
  sequence: z.number(),
});

export type ToldFact = z.infer<typeof toldFactSchema>;
export type CrashReport = z.infer<typeof crashReportSchema>;
export type CrashReply = z.infer<typeof crashReplySchema>;

export function toTold({atMs, ...rest}: CrashFact, nowMs: number): ToldFact {
  return {...rest, ageMs: Math.max(0, nowMs - atMs)};
}

export function fromTold({ageMs, ...rest}: ToldFact, nowMs: number): CrashFact {
  return {...rest, atMs: nowMs - ageMs};
}
