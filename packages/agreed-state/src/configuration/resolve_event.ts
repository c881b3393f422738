/** Resolves events by substituting the parameters of their templates. */
import {type EventId, type TeamName} from '@mimosatack/types';
import {type z} from 'zod';
import {
  type EventContent,
  type ModelContent,
  type ParameterSpec,
  type TemplateContent,
  resolvedEventSchema,
} from './document_schema.js';

/** One model that an event needs, with its replicas. */
export interface ResolvedNeed {
  model: string;
  version: string;
  adapters: string[];
  replicas: number;
  maxSurge: number;
  pool: string;
  /** Accelerator memory of one replica with its adapters. */
  memoryMib: number;
}

/** An event after parameter substitution. */
export interface ResolvedEvent {
  eventId: EventId;
  team: TeamName;
  template: string;
  templateVersion: number;
  /** Sequence number of the record that last changed the resolved content. */
  revision: number;
  startsAtMs: number;
  endsAtMs: number;
  priority: number;
  needs: ResolvedNeed[];
  unrepeatable: {service: string; call: string}[];
}

/** Document lookups that resolving an event needs. */
export interface ResolveContext {
  findModel(name: string): ModelContent | undefined;
}

export type ResolveResult =
  {event: Omit<ResolvedEvent, 'revision'>} | {faults: string[]};

const MINUTE_MS = 60_000;
const PLACEHOLDER = /\$\{([A-Za-z0-9][A-Za-z0-9._-]*)\}/g;
const WHOLE_PLACEHOLDER = /^\$\{([A-Za-z0-9][A-Za-z0-9._-]*)\}$/;

/** Resolves one event, or lists the faults of the first failed check. */
export function resolveEvent(
  eventId: EventId,
  content: EventContent,
  template: TemplateContent,
  templateVersion: number,
  context: ResolveContext,
): ResolveResult {
  const parameterFaults = checkParameters(template, content.parameters);
  if (parameterFaults.length > 0) return {faults: parameterFaults};
  const values = applyDefaults(template, content.parameters);
  const substituted = substitute(template.event, values);
  const parsed = resolvedEventSchema.safeParse(substituted);
  if (!parsed.success) return {faults: describeIssues(parsed.error)};
  const startsAtMs = parseTimeMs(parsed.data.startsAt);
  if (startsAtMs === null) {
    return {faults: ['startsAt: give an ISO 8601 time with a time zone']};
  }
  const needFaults = parsed.data.needs.flatMap(need =>
    checkNeed(need, context),
  );
  if (needFaults.length > 0) return {faults: needFaults};
  return {
    event: {
      eventId,
      team: content.team,
      template: content.template,
      templateVersion,
      startsAtMs,
      endsAtMs: startsAtMs + parsed.data.durationMinutes * MINUTE_MS,
      priority: parsed.data.priority,
      needs: parsed.data.needs.map(need => resolveNeed(need, context)),
      unrepeatable: parsed.data.unrepeatable,
    },
  };
}

/** Formats schema issues as `path: message`. */
export function describeIssues(error: z.ZodError): string[] {
  return error.issues.map(
    issue => `${issue.path.join('.') || 'content'}: ${issue.message}`,
  );
}

type ParsedNeed = z.infer<typeof resolvedEventSchema>['needs'][number];

function checkNeed(need: ParsedNeed, context: ResolveContext): string[] {
  const model = context.findModel(need.model);
  if (!model) {
    return [`needs: there is no model ${need.model}; publish it first`];
  }
  return need.adapters
    .filter(adapter => !model.adapters[adapter])
    .map(
      adapter =>
        `needs: model ${need.model} has no adapter ${adapter}; ` +
        'add it to the model first',
    );
}

function resolveNeed(need: ParsedNeed, context: ResolveContext): ResolvedNeed {
  const model = context.findModel(need.model) as ModelContent;
  return {
    model: need.model,
    version: need.version ?? model.version,
    adapters: need.adapters,
    replicas: need.replicas,
    maxSurge: need.maxSurge,
    pool: model.pool,
    memoryMib: sumReplicaMemoryMib(model, need.adapters),
  };
}

/** Accelerator memory of one replica with the given adapters. */
export function sumReplicaMemoryMib(
  model: ModelContent,
  adapters: readonly string[],
): number {
  return adapters.reduce(
    (sumMib, adapter) => sumMib + (model.adapters[adapter]?.memoryMib ?? 0),
    model.memoryMib,
  );
}

function checkParameters(
  template: TemplateContent,
  given: Record<string, unknown>,
): string[] {
  const unknown = Object.keys(given)
    .filter(key => !Object.hasOwn(template.parameters, key))
    .map(key => `parameters.${key}: the template has no such parameter`);
  const wrong = Object.entries(template.parameters).flatMap(([key, spec]) => {
    const value = given[key] ?? spec.default;
    if (value === undefined) return [`parameters.${key}: give a value`];
    const fault = checkValue(spec, value);
    return fault ? [`parameters.${key}: ${fault}`] : [];
  });
  return [...unknown, ...wrong];
}

function checkValue(spec: ParameterSpec, value: unknown): string | null {
  switch (spec.type) {
    case 'number':
      return checkNumber(spec, value);
    case 'boolean':
      return typeof value === 'boolean' ? null : 'give true or false';
    case 'time':
      return parseTimeMs(value) === null
        ? 'give an ISO 8601 time with a time zone'
        : null;
    case 'string-list':
      return isStringList(value) ? null : 'give a list of strings';
    case 'string':
      return checkString(spec, value);
  }
}

function checkNumber(spec: ParameterSpec, value: unknown): string | null {
  if (typeof value !== 'number' || !Number.isFinite(value)) {
    return 'give a number';
  }
  if (spec.min !== undefined && value < spec.min) {
    return `give at least ${spec.min}`;
  }
  if (spec.max !== undefined && value > spec.max) {
    return `give at most ${spec.max}`;
  }
  return null;
}

function checkString(spec: ParameterSpec, value: unknown): string | null {
  if (typeof value !== 'string') return 'give a string';
  if (spec.choices && !spec.choices.includes(value)) {
    return `give one of ${spec.choices.join(', ')}`;
  }
  return null;
}

function isStringList(value: unknown): boolean {
  return Array.isArray(value) && value.every(item => typeof item === 'string');
}

/** Parses an absolute time; null for a string without a time zone. */
function parseTimeMs(value: unknown): number | null {
  if (typeof value === 'number') return Number.isFinite(value) ? value : null;
  if (typeof value !== 'string') return null;
  if (!/T.*(Z|[+-]\d\d:?\d\d)$/.test(value)) return null;
  const parsedMs = Date.parse(value);
  return Number.isNaN(parsedMs) ? null : parsedMs;
}

function applyDefaults(
  template: TemplateContent,
  given: Record<string, unknown>,
): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(template.parameters).map(([key, spec]) => [
      key,
      given[key] ?? spec.default,
    ]),
  );
}

function substitute(node: unknown, values: Record<string, unknown>): unknown {
  if (typeof node === 'string') return substituteText(node, values);
  if (Array.isArray(node)) return node.map(item => substitute(item, values));
  if (node === null || typeof node !== 'object') return node;
  return Object.fromEntries(
    Object.entries(node).map(([key, value]) => [
      key,
      substitute(value, values),
    ]),
  );
}

function substituteText(
  text: string,
  values: Record<string, unknown>,
): unknown {
  const whole = WHOLE_PLACEHOLDER.exec(text);
  if (whole?.[1] !== undefined && Object.hasOwn(values, whole[1])) {
    return values[whole[1]];
  }
  return text.replace(PLACEHOLDER, (placeholder, key: string) =>
    Object.hasOwn(values, key) ? String(values[key]) : placeholder,
  );
}
