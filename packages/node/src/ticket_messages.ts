/** The messages between nodes about the tickets of stopped processes. */
import {z} from 'zod';

const name = z.string().min(1).max(256);
const count = z.number().int().min(0);
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);

const keptAnswer = z.object({
  statusCode: count,
  contentType: z.string().max(1024),
  body: bytes,
});

const keyShape = {keyHash: name, requestHash: name, generation: count};

const rememberedKey = z.discriminatedUnion('outcome', [
  z.object({
    outcome: z.literal('ran'),
    answer: keptAnswer.nullable(),
    ...keyShape,
  }),
  z.object({outcome: z.literal('unknown'), ...keyShape}),
]);

const verdict = z.discriminatedUnion('status', [
  z.object({status: z.literal('no-table')}),
  z.object({status: z.literal('unknown')}),
  z.object({status: z.literal('never-run')}),
  z.object({status: z.literal('key-reused')}),
  z.object({status: z.literal('ran'), answer: keptAnswer.nullable()}),
]);

const ticketPage = z.object({
  type: z.literal('ticket-page'),
  page: z.object({
    incarnation: name,
    page: count,
    isLast: z.boolean(),
    floorGeneration: z.number().int(),
    keys: z.array(rememberedKey).max(1000),
  }),
});

const ticketPageTaken = z.object({
  type: z.literal('ticket-page-taken'),
  isTaken: z.boolean(),
});

const findTicket = z.object({
  type: z.literal('find-ticket'),
  query: z.object({incarnation: name, ...keyShape}),
});

const ticketVerdict = z.object({type: z.literal('ticket-verdict'), verdict});

export const ticketMessageSchemas = [
  ticketPage,
  ticketPageTaken,
  findTicket,
  ticketVerdict,
] as const;

export type TicketMessage = z.infer<(typeof ticketMessageSchemas)[number]>;
