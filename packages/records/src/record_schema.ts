/**
 * The records of the agreed log. A record states a wish; whether it is valid
 * follows from its place in the log alone, by the rules of the fold.
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

/** One kind of document. */
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
  /** Whether the platform's list says that its host leaves. */
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
   * When the model is loaded once and unloaded again, so that its checkpoint
   * lies in a near cache before it is needed; null to leave that out.
   */
  stage: z.object({fromMs: timeMs, untilMs: timeMs}).nullable(),
  /** When the load that makes the replica warm begins. */
  loadAtMs: timeMs,
  /** How long the transfer from the weight store is expected to take. */
  storeMs: z.number().min(0),
  /** When the replica is unloaded again. */
  untilMs: timeMs,
  /** The lost slot that this one stands in for, if any. */
  replaces: name.nullable(),
});

/** What a decided replica is for: an event, or requests without one. */
const purpose = z.discriminatedUnion('for', [
  z.object({for: z.literal('event'), eventId: name}),
  z.object({for: z.literal('demand'), model: name}),
]);

const decideSlots = z.object({
  type: z.literal('decide-slots'),
  purpose,
  /** The revision of the event or model that was planned for. */
  targetRevision: version,
  /** The number of plans accepted for this purpose so far. */
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
  /** The epoch of the claim that this one follows; 0 for the first. */
  expectedEpoch: version,
  /** Processes that may take over, in order, while the log is down. */
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
  /** The epoch of the former claim whose orders can no longer arrive. */
  epoch: version,
  evidence: z.enum(['acknowledged', 'host-gone', 'replaced']),
});

const noteCheckpoint = z.object({
  type: z.literal('note-checkpoint'),
  /** The checkpoint covers all appends below this offset. */
  coversOffset: version,
  /** How many records those appends held. */
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

/** The checked form of a record. */
export const agreedRecordSchema = z.object({
  recordId: z.string().min(8).max(64),
  /** The incarnation of the node that wrote the record. */
  author: z.string().min(1).max(128),
  /** How many records the author had folded when it wrote. */
  basisSequence: version,
  /** The author's wall clock, for the audit trail only. */
  writtenAtMs: timeMs,
  /** The operator on whose behalf the record was written, if any. */
  operator: z.string().min(1).max(128).nullable(),
  /** Why, in the operator's words. */
  reason: z.string().max(1024).nullable(),
  body: recordBody,
});

export type AgreedRecord = z.infer<typeof agreedRecordSchema>;
export type RecordBody = z.infer<typeof recordBody>;
export type RecordType = RecordBody['type'];
export type BodyOf<T extends RecordType> = Extract<RecordBody, {type: T}>;
export type SlotPlan = z.infer<typeof slot>;
export type SlotPurpose = z.infer<typeof purpose>;
