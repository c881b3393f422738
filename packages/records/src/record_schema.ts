/**
 * Schemas of the records in the agreed log. A record is a request for a change;
 * its position in the log determines whether the fold accepts it.
 */
import {z} from 'zod';

const name = z
  .string()
  .min(1)
  .max(128)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._:/@+-]*$/);
const version = z.number().int().min(0);
const timeMs = z.number().finite();
const memoryMib = z.number().int().min(0);

/** The kinds of documents that operators publish. */
export const DOCUMENT_KINDS = [
  'team',
  'model',
  'service',
  'template',
  'event',
] as const;

export type DocumentKind = (typeof DOCUMENT_KINDS)[number];

const putDocument = z.object({
  type: z.literal('put-document'),
  kind: z.enum(DOCUMENT_KINDS),
  id: name,
  /** 0 when the document must not exist yet. */
  expectedVersion: version,
  content: z.record(z.string(), z.unknown()),
});

const deleteDocument = z.object({
  type: z.literal('delete-document'),
  kind: z.enum(DOCUMENT_KINDS),
  id: name,
  expectedVersion: version,
});

const registerBackendServer = z.object({
  type: z.literal('register-backend-server'),
  backendServerId: name,
  hostId: name,
  baseUrl: z.string().min(1).max(512),
  pool: name,
  failureDomain: name,
  region: name,
  fencing: z.enum(['refuses-old', 'ignores']),
  accelerators: z.number().int().min(0),
  memoryMib,
});

const removeBackendServer = z.object({
  type: z.literal('remove-backend-server'),
  backendServerId: name,
});

const noteHostState = z.object({
  type: z.literal('note-host-state'),
  backendServerId: name,
  /** Whether the platform's host list reports its host as leaving. */
  isLeaving: z.boolean(),
});

const drainBackendServer = z.object({
  type: z.literal('drain-backend-server'),
  backendServerId: name,
  isDraining: z.boolean(),
});

const slot = z.object({
  slotId: name,
  model: name,
  version: name,
  adapters: z.array(name).max(64),
  backendServerId: name,
  memoryMib,
  /**
   * When the model is loaded and unloaded ahead of time, to place its checkpoint
   * in a nearby cache; null for no prefetch.
   */
  stage: z.object({fromMs: timeMs, untilMs: timeMs}).nullable(),
  /** Start of the load that makes the replica warm. */
  loadAtMs: timeMs,
  /** Expected duration of the transfer from the weight store. */
  storeMs: z.number().min(0),
  /** When the replica is unloaded. */
  untilMs: timeMs,
  /** The lost slot that this one replaces, if any. */
  replaces: name.nullable(),
});

/** Whether a replica serves an event, or demand outside events. */
const purpose = z.discriminatedUnion('for', [
  z.object({for: z.literal('event'), eventId: name}),
  z.object({for: z.literal('demand'), model: name}),
]);

const decideSlots = z.object({
  type: z.literal('decide-slots'),
  purpose,
  /** Revision of the event or model that the plan is based on. */
  targetRevision: version,
  /** Number of plans accepted for this purpose before this one. */
  expectedPlan: version,
  slots: z.array(slot).min(1).max(512),
});

const endSlots = z.object({
  type: z.literal('end-slots'),
  slotIds: z.array(name).min(1).max(512),
  reason: z.enum(['event-over', 'event-changed', 'lost', 'idle', 'moved']),
});

const extendSlots = z.object({
  type: z.literal('extend-slots'),
  slotIds: z.array(name).min(1).max(512),
  untilMs: timeMs,
});

const releaseSlots = z.object({
  type: z.literal('release-slots'),
  backendServerId: name,
  epoch: version,
  slotIds: z.array(name).min(1).max(512),
});

const claimSteward = z.object({
  type: z.literal('claim-steward'),
  backendServerId: name,
  /** Epoch of the preceding claim; 0 for the first claim. */
  expectedEpoch: version,
  /** Processes that may take over while the log is unavailable, in order. */
  successors: z.array(name).max(15),
});

const yieldSteward = z.object({
  type: z.literal('yield-steward'),
  backendServerId: name,
  epoch: version,
});

const clearDoubt = z.object({
  type: z.literal('clear-doubt'),
  backendServerId: name,
  /** Epoch of the former claim whose orders can no longer arrive. */
  epoch: version,
  evidence: z.enum(['acknowledged', 'host-gone', 'replaced']),
});

const noteCheckpoint = z.object({
  type: z.literal('note-checkpoint'),
  /** The checkpoint covers all appends below this offset. */
  coversOffset: version,
  /** Number of records in those appends. */
  coversSequence: version,
});

const activateRules = z.object({
  type: z.literal('activate-rules'),
  rulesVersion: z.number().int().min(1),
});

const recordBody = z.discriminatedUnion('type', [
  putDocument,
  deleteDocument,
  registerBackendServer,
  removeBackendServer,
  noteHostState,
  drainBackendServer,
  decideSlots,
  endSlots,
  extendSlots,
  releaseSlots,
  claimSteward,
  yieldSteward,
  clearDoubt,
  noteCheckpoint,
  activateRules,
]);

export const agreedRecordSchema = z.object({
  recordId: z.string().min(8).max(64),
  /** Incarnation of the node that wrote the record. */
  author: z.string().min(1).max(128),
  /** Number of records that the author had folded when it wrote this one. */
  basisSequence: version,
  /** Wall clock time of the author; used by the audit trail only. */
  writtenAtMs: timeMs,
  /** The operator who requested the change, if any. */
  operator: z.string().min(1).max(128).nullable(),
  /** The reason given by the operator. */
  reason: z.string().max(1024).nullable(),
  body: recordBody,
});

export type AgreedRecord = z.infer<typeof agreedRecordSchema>;
export type RecordBody = z.infer<typeof recordBody>;
export type RecordType = RecordBody['type'];
export type BodyOf<T extends RecordType> = Extract<RecordBody, {type: T}>;
export type SlotPlan = z.infer<typeof slot>;
export type SlotPurpose = z.infer<typeof purpose>;
