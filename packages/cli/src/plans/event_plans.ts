/** Plans for events: parameters from the command line, and changes. */
import {UsageError} from 'clipanion';
import {z} from 'zod';
import {type AdminRequest} from '../admin_client.js';
import {type DocumentAnswer} from '../answers.js';
import {planPut} from './document_plans.js';

/** Parameters by name. */
export type Parameters = Record<string, unknown>;

/** What a new event is made of. */
export interface NewEvent {
  id: string;
  template: string;
  templateVersion?: number;
  parameters: Parameters;
  reason?: string;
}

/** What is changed in an event. */
export interface EventChange {
  parameters: Parameters;
  /** Parameters that go back to their default. */
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
 * Reads `name=value` texts by the types that the template declares. A name
 * that the template does not have stays a text, and the node refuses it.
 */
export function readParameters(
  assignments: readonly string[],
  template: DocumentAnswer,
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
      return [name, readValue(text, parameters[name]?.type, name)];
    }),
  );
}

/** Creates an event from a template. */
export function planCreate(event: NewEvent): AdminRequest {
  return {method: 'POST', path: '/admin/v1/events', body: event};
}

/** Publishes an event again with some parameters changed. */
export function planChange(
  event: DocumentAnswer,
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

function readValue(
  text: string,
  type: string | undefined,
  name: string,
): unknown {
  switch (type) {
    case 'number':
      return readNumber(text, name);
    case 'boolean':
      return readBoolean(text, name);
    case 'string-list':
      return text === '' ? [] : text.split(',').map(item => item.trim());
    default:
      return text;
  }
}

function readNumber(text: string, name: string): number {
  const value = Number(text);
  if (text.trim() !== '' && Number.isFinite(value)) return value;
  throw new UsageError(`--param ${name} takes a number, not "${text}".`);
}

function readBoolean(text: string, name: string): boolean {
  if (text === 'true' || text === 'false') return text === 'true';
  throw new UsageError(`--param ${name} takes true or false, not "${text}".`);
}
