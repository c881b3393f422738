/** The shape of a log event in the catalogue. */

/** How much attention a log event needs. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** All levels, from the least to the most urgent. */
export const LOG_LEVELS = [
  'debug',
  'info',
  'warn',
  'error',
  'fatal',
] as const satisfies readonly LogLevel[];

/** What the catalogue says about one log event. */
export interface EventDefinition {
  /** Never changes and is never used again, so that alerts can rely on it. */
  number: number;
  level: LogLevel;
  message: string;
  /** The fields of the log line, each with its meaning. */
  fields: Readonly<Record<string, string>>;
  /** What an operator does about it, where there is something to do. */
  remedy?: string;
}
