/** The interface through which the rest of the system logs. */
import {type EVENT_CATALOGUE, type EventName} from './catalogue.js';

/** What the field of a log line can hold; errors are logged in full. */
export type FieldValue =
  | string
  | number
  | boolean
  | null
  | undefined
  | Error
  | readonly FieldValue[]
  | {readonly [key: string]: FieldValue};

/** Exactly the fields that the catalogue names for an event. */
export type EventFields<N extends EventName> = {
  readonly [K in keyof (typeof EVENT_CATALOGUE)[N]['fields']]: FieldValue;
};

/** Writes numbered events from the catalogue. */
export interface EventLogger {
  log<N extends EventName>(name: N, fields: EventFields<N>): void;
}
