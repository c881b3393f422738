/** Schemas of the documents that operators publish. */
import {z} from 'zod';

const name = z
  .string()
  .min(1)
  .max(128)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'use letters, digits, ".", "_", "-"');
const durationMs = z.number().int().min(0);

export const TOKEN_ROLES = ['caller', 'operator', 'admin'] as const;
export type TokenRole = (typeof TOKEN_ROLES)[number];

export const teamSchema = z.strictObject({
  displayName: z.string().max(200).default(''),
  tokens: z
    .array(
      z.strictObject({
        name,
        role: z.enum(TOKEN_ROLES),
        /** SHA-256 of the token, in hex; the token itself is never stored. */
        tokenHash: z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 in hex'),
      }),
    )
    .max(64)
    .default([]),
  limits: z
    .strictObject({
      maxConcurrentRequests: z.number().int().min(1).default(256),
      requestsPerSecond: z.number().min(0.1).default(1000),
    })
    .default({maxConcurrentRequests: 256, requestsPerSecond: 1000}),
});

export const modelSchema = z.strictObject({
  pool: name,
  version: name,
  memoryMib: z.number().int().min(1),
  adapters: z
    .record(name, z.strictObject({memoryMib: z.number().int().min(0)}))
    .default({}),
  /** Limits for replicas that are loaded for requests outside events. */
  onDemand: z
    .strictObject({
      maxReplicas: z.number().int().min(0).max(64).default(1),
      keepWarmMs: durationMs.default(60_000),
    })
    .default({maxReplicas: 1, keepWarmMs: 60_000}),
  defaultDeadlineMs: durationMs.optional(),
});

export const serviceSchema = z.strictObject({
  pool: name,
  calls: z.record(
    name,
    z.strictObject({
      /** Whether each call must run at most once. */
      unrepeatable: z.boolean().default(false),
      timeoutMs: durationMs.default(10_000),
    }),
  ),
});

const parameterSchema = z.strictObject({
  type: z.enum(['string', 'number', 'boolean', 'time', 'string-list']),
  description: z.string().max(500).default(''),
  default: z.unknown().optional(),
  min: z.number().optional(),
  max: z.number().optional(),
  choices: z.array(z.string()).optional(),
});

export const templateSchema = z.strictObject({
  team: name,
  description: z.string().max(1000).default(''),
  parameters: z.record(name, parameterSchema).default({}),
  /** Event definition; its strings may contain `${parameter}` placeholders. */
  event: z.record(z.string(), z.unknown()),
});

export const eventSchema = z.strictObject({
  team: name,
  template: name,
  /** Pins the event to one version of its template. */
  templateVersion: z.number().int().min(1).optional(),
  parameters: z.record(z.string(), z.unknown()).default({}),
});

/** An event definition after parameter substitution. */
export const resolvedEventSchema = z.strictObject({
  startsAt: z.union([z.string(), z.number()]),
  durationMinutes: z.number().min(0.01).max(10_080),
  priority: z.number().int().min(0).max(9).default(5),
  needs: z
    .array(
      z.strictObject({
        model: name,
        version: name.optional(),
        adapters: z.array(name).max(64).default([]),
        replicas: z.number().int().min(1).max(256),
        /** Additional replicas allowed as replacements for lost ones. */
        maxSurge: z.number().int().min(0).max(64).default(1),
      }),
    )
    .max(64)
    .default([]),
  /** Service calls that must run at most once during the event. */
  unrepeatable: z
    .array(z.strictObject({service: name, call: name}))
    .max(64)
    .default([]),
});

export type TeamContent = z.infer<typeof teamSchema>;
export type ModelContent = z.infer<typeof modelSchema>;
export type ServiceContent = z.infer<typeof serviceSchema>;
export type TemplateContent = z.infer<typeof templateSchema>;
export type ParameterSpec = z.infer<typeof parameterSchema>;
export type EventContent = z.infer<typeof eventSchema>;
