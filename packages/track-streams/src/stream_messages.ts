/** The messages with which hosts share the origins of streams. */
import * as z from 'zod';

const originFields = {service: z.string(), softwareVersion: z.string()};

/** From the host that begins streams to the hosts that keep copies. */
export const streamsBegunSchema = z.object({
  type: z.literal('streams-begun'),
  ...originFields,
  ids: z.array(z.string()),
});

/** Asks whether the receiver knows the origin of a stream. */
export const askStreamSchema = z.object({
  type: z.literal('ask-stream'),
  id: z.string(),
  /** The service that would continue the stream. */
  service: z.string(),
});

export const streamReplySchema = z.object({
  type: z.literal('stream-reply'),
  origin: z.object(originFields).nullable(),
  /** Whether the service runs at several versions, or did lately. */
  isMixed: z.boolean(),
  /** The only version of the service; null if it is mixed or none is known. */
  onlyVersion: z.string().nullable(),
  /** Whether it is by a current list of servers; absent in the previous release. */
  isCurrent: z.boolean().default(false),
});

export type StreamsBegun = z.infer<typeof streamsBegunSchema>;
export type AskStream = z.infer<typeof askStreamSchema>;
export type StreamReply = z.infer<typeof streamReplySchema>;
