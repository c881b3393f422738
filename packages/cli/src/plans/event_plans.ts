/** Builds the admin API requests for events. */
import {UsageError} from 'clipanion';
import {z} from 'zod';
import {type AdminRequest} from '../admin_client.js';
import {type DocumentResponse} from '../responses.js';
import {planPut} from './document_plans.js';

/** Parameter values by name. */
export type Parameters = Record<string, unknown>;

export interface NewEvent {
  id: string;
  template: string;
  templateVersion?: number;
  parameters: Parameters;
  reason?: string;
}

export interface EventChange {
  parameters: Parameters;
  /** Names of parameters to reset to their default. */
  unset: readonly string[];
  templateVersion?: number;
  reason?: string;
}

const templateSchema = z.looseObject({
  parameters: z.record(z.string(), z.looseObject({type: z.string()})),
});

const eventSchema = z.looseObject({
  parameters: z.record(z.string(), z.unknown()),
});

const ASSIGNMENT = /^([A-Za-z0-9][A-Za-z0-9._-]*)=(.*)$/s;

/**
 * Parses `name=value` assignments by the types that the template declares. The
 * value of an undeclared name stays a string, and the node refuses the name.
 */
export function parseParameters(
  assignments: readonly string[],
  template: DocumentResponse,
): Parameters {
  const {parameters} = templateSchema.parse(template.content);
  return Object.fromEntries(
    assignments.map(assignment => {
      const [, name, text] = ASSIGNMENT.exec(assignment) ?? [];
      if (name === undefined || text === undefined) {
        throw new UsageError(
          `--param takes name=value, such as --param replicas=2; not ${assignment}.`,
        );
      }
      return [name, parseValue(text, parameters[name]?.type, name)];
    }),
  );
}

/** Builds a request that creates an event from a template. */
export function planCreate(event: NewEvent): AdminRequest {
  return {method: 'POST', path: '/admin/v1/events', body: event};
}

/** Builds a request that publishes an event with changed parameters. */
export function planChange(
  event: DocumentResponse,
  change: EventChange,
): AdminRequest {
  const content = eventSchema.parse(event.content);
  const {templateVersion} = change;
  const merged = {...content.parameters, ...change.parameters};
  const parameters = Object.fromEntries(
    Object.entries(merged).filter(([name]) => !change.unset.includes(name)),
  );
  return planPut({
    kind: 'event',
    id: event.id,
    expectedVersion: event.version,
    content: {
      ...content,
      parameters,
      ...(templateVersion === undefined ? {} : {templateVersion}),
    },
    reason: change.reason,
  });
}

function parseValue(
  text: string,
  type: string | undefined,
  name: string,
): unknown {
  switch (type) {
    case 'number':
      return parseNumber(text, name);
    case 'boolean':
      return parseBoolean(text, name);
    case 'string-list':
      return text === '' ? [] : text.split(',').map(item => item.trim());
    default:
      return text;
  }
}

function parseNumber(text: string, name: string): number {
  const value = Number(text);
  if (text.trim() !== '' && Number.isFinite(value)) return value;
  throw new UsageError(`--param ${name} takes a number, not "${text}".`);
}

function parseBoolean(text: string, name: string): boolean {
  if (text === 'true' || text === 'false') return text === 'true';
  throw new UsageError(`--param ${name} takes true or false, not "${text}".`);
}
