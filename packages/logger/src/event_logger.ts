/** The logging interface and its field types. */
import {type EVENT_CATALOGUE, type EventName} from './catalogue.js';

/** The value of a log field. */
export type FieldValue =
  | string
  | number
  | boolean
  | null
  | undefined
  | Error
  | readonly FieldValue[]
  | {readonly [key: string]: FieldValue};

/** The fields that the catalogue defines for an event. */
export type EventFields<N extends EventName> = {
  readonly [K in keyof (typeof EVENT_CATALOGUE)[N]['fields']]: FieldValue;
};

/** Logs events of the catalogue. */
export interface EventLogger {
  log<N extends EventName>(name: N, fields: EventFields<N>): void;
}
