/** The messages between nodes, with the schemas that check them on arrival. */
import {membershipMessageSchema} from '@mimosatack/membership';
import {reportMessageSchema} from '@mimosatack/share-reports';
import {z} from 'zod';
import {ticketMessageSchemas} from './ticket_messages.js';

const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);
const offset = z.number().int().min(0);
const name = z.string().min(1).max(256);

const loadSchema = z.object({
  runningRequests: z.number(),
  queuedRequests: z.number(),
  maxRunningRequests: z.number(),
  tokensPerSecond: z.number(),
  ageMs: z.number(),
});

const modelRefShape = {model: name, adapter: name.nullable(), version: name};

const engineSchema = z.object({
  backendServerId: name,
  incarnation: name,
  fencing: z.enum(['refuses-old', 'ignores']),
  highestFencingNumber: z.number(),
  accelerators: z.number(),
  memoryMib: z.number(),
  replicas: z.array(
    z.object({
      ...modelRefShape,
      slotId: name,
      memoryMib: z.number(),
      status: z.enum(['loading', 'warm', 'unloading']),
      loadMs: z.number(),
      activeRequests: z.number(),
    }),
  ),
  cached: z.array(
    z.object({...modelRefShape, tier: z.enum(['memory', 'disk'])}),
  ),
  load: loadSchema,
});

const versionSchema = z.object({
  epoch: z.int().nonnegative(),
  rank: z.int().nonnegative(),
  count: z.int().nonnegative(),
});

export const peerMessageSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('membership'),
    message: membershipMessageSchema,
    /** The next log offset that the sender will read. */
    nextOffset: offset,
    /** Whether the sender reads the log directly. */
    isLogReachable: z.boolean(),
  }),
  z.object({type: z.literal('pull-appends'), from: offset}),
  z.object({
    type: z.literal('appends'),
    records: z.array(z.object({offset, data: bytes})),
  }),
  /** Asks for the progress of a node, and reports that of the sender. */
  z.object({
    type: z.literal('read-progress'),
    nextOffset: offset,
    isLogReachable: z.boolean(),
  }),
  z.object({
    type: z.literal('progress'),
    nextOffset: offset,
    isLogReachable: z.boolean(),
  }),
  z.object({type: z.literal('pull-state')}),
  z.object({type: z.literal('state'), data: bytes.nullable()}),
  z.object({type: z.literal('report'), message: reportMessageSchema}),
  z.object({type: z.literal('pull-engine'), backendServerId: name}),
  z.object({
    type: z.literal('engine'),
    pulled: z.object({engine: engineSchema, version: versionSchema}).nullable(),
  }),
  z.object({type: z.literal('demand'), model: name}),
  ...ticketMessageSchemas,
  /** Tells the node that accepted a request that its caller has resumed it. */
  z.object({type: z.literal('resumed'), engineRequestId: name}),
  z.object({
    type: z.literal('hosts-leaving'),
    backendServerIds: z.array(name).max(1024),
    nodeNames: z.array(name).max(1024),
  }),
]);

export type PeerMessage = z.infer<typeof peerMessageSchema>;
