/** The messages in which nodes exchange crash evidence. */
import * as z from 'zod';
import {type CrashFact} from './crash_evidence.js';

export const wireFactSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('cut'),
    fingerprint: z.string(),
    serverLife: z.string(),
    /** An age instead of a time, since the clocks of two nodes differ. */
    ageMs: z.number().nonnegative(),
    isTry: z.boolean(),
    /** The previous release sends none. */
    recentUses: z.number().nonnegative().default(0),
    /** The previous release sends none. */
    promptIndex: z.number().nonnegative().default(0),
  }),
  z.object({
    kind: z.literal('served'),
    fingerprint: z.string(),
    ageMs: z.number().nonnegative(),
  }),
]);

/** From a node to the holder, with the node's heartbeat. */
export const crashReportSchema = z.object({
  /** Facts that the holder has not acknowledged yet. */
  facts: z.array(wireFactSchema),
  /** The sequence number of the sender's last fact that `facts` covers. */
  sequence: z.number(),
  /** The sequence number of the holder's last fact that the sender has. */
  knownSequence: z.number(),
});

/** From the holder, with the reply to a heartbeat. */
export const crashReplySchema = z.object({
  facts: z.array(wireFactSchema),
  /** The sequence number of the holder's last fact that `facts` covers. */
  sequence: z.number(),
});

export type WireFact = z.infer<typeof wireFactSchema>;
export type CrashReport = z.infer<typeof crashReportSchema>;
export type CrashReply = z.infer<typeof crashReplySchema>;

export function toWireFact(
  {atMs, ...rest}: CrashFact,
  nowMs: number,
): WireFact {
  return {...rest, ageMs: Math.max(0, nowMs - atMs)};
}

export function fromWireFact(
  {ageMs, ...rest}: WireFact,
  nowMs: number,
): CrashFact {
  return {...rest, atMs: nowMs - ageMs};
}
