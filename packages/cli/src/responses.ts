/** Schemas of the admin API responses that the tool reads. */
import {z} from 'zod';

const content = z.record(z.string(), z.unknown());

export const documentSchema = z.looseObject({
  kind: z.string(),
  id: z.string(),
  version: z.number(),
  sequence: z.number(),
  content,
});

export const acceptedSchema = z.looseObject({
  version: z.number().optional(),
  offset: z.number(),
  sequence: z.number(),
});

export const dryRunSchema = z.looseObject({
  isAccepted: z.boolean(),
  faults: z.array(z.string()),
  expectedVersion: z.number(),
  resolvedEvent: z.unknown(),
  affectedEvents: z.array(
    z.looseObject({
      eventId: z.string(),
      before: z.unknown(),
      after: z.unknown(),
    }),
  ),
});

export const inForceSchema = z.looseObject({
  offset: z.number(),
  isInForceEverywhere: z.boolean(),
  missingNodes: z.array(z.string()),
  nodes: z.array(
    z.looseObject({
      nodeName: z.string(),
      status: z.string(),
      failureDomain: z.string(),
      nextOffset: z.number().nullable(),
      isInForce: z.boolean(),
    }),
  ),
});

export const eventStatusSchema = z.looseObject({
  eventId: z.string(),
  phase: z.enum(['planning', 'planned', 'warming', 'warm', 'over']),
  isWarm: z.boolean(),
  startsAtMs: z.number(),
  endsAtMs: z.number(),
  startsInMs: z.number(),
  needs: z.array(
    z.looseObject({
      model: z.string(),
      version: z.string(),
      adapters: z.array(z.string()),
      replicas: z.number(),
      decided: z.number(),
      warm: z.number(),
      loading: z.number(),
      unplaced: z.number(),
      expectedWarmAtMs: z.number().nullable(),
    }),
  ),
});

export const auditPageSchema = z.looseObject({
  items: z.array(
    z.looseObject({
      sequence: z.number(),
      writtenAtMs: z.number(),
      operator: z.string().nullable(),
      reason: z.string().nullable(),
      change: z.string(),
      kind: z.string(),
      id: z.string(),
      outcome: z.looseObject({
        status: z.string(),
        reason: z.string().optional(),
      }),
      before: content.nullable(),
      after: content.nullable(),
    }),
  ),
  nextCursor: z.string().nullable(),
  isComplete: z.boolean(),
  note: z.string().nullable(),
});

export type DocumentResponse = z.infer<typeof documentSchema>;
export type AcceptedResponse = z.infer<typeof acceptedSchema>;
export type DryRunResponse = z.infer<typeof dryRunSchema>;
export type InForceResponse = z.infer<typeof inForceSchema>;
export type EventStatusResponse = z.infer<typeof eventStatusSchema>;
export type AuditEntryResponse = z.infer<
  typeof auditPageSchema
>['items'][number];
