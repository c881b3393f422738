/** Types of the event catalogue. */

export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** All levels, in ascending severity. */
export const LOG_LEVELS = [
  'debug',
  'info',
  'warn',
  'error',
  'fatal',
] as const satisfies readonly LogLevel[];

export interface EventDefinition {
  /** Never changed or reassigned, so that alerts can rely on it. */
  number: number;
  level: LogLevel;
  message: string;
  /** The description of each field, by field name. */
  fields: Readonly<Record<string, string>>;
  /** The action an operator takes, if one is needed. */
  remedy?: string;
}
