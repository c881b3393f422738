import {type Writable} from 'node:stream';
import {TypedError} from '@mimosatack/errors';
import bunyan from 'bunyan';
import {type EventName, findEventDefinition} from './catalogue.js';
import {type LogLevel} from './definition.js';
import {type EventFields, type EventLogger} from './event_logger.js';

export type LogDestination = 'stdout' | 'stderr';

export const LOG_DESTINATIONS = [
  'stdout',
  'stderr',
] as const satisfies readonly LogDestination[];

export interface BunyanEventLoggerOptions {
  nodeName: string;
  /** Events below this level are not logged. */
  level: LogLevel;
  /** A standard stream by name, or a writable object. */
  destination: LogDestination | Writable | LineSink;
}

export interface LineSink {
  write: (line: string) => void;
}

const PROGRAM_NAME = 'mimosatackd';

/** Logs events as JSON lines. */
export class BunyanEventLogger implements EventLogger {
  private readonly output: bunyan;

  constructor(options: BunyanEventLoggerOptions) {
    this.output = bunyan.createLogger({
      name: PROGRAM_NAME,
      nodeName: options.nodeName,
      level: options.level,
      stream: toStream(options.destination),
      serializers: {error: serializeError},
    });
  }

  log<N extends EventName>(name: N, fields: EventFields<N>): void {
    const {number, level, message} = findEventDefinition(name);
    this.output[level](
      {eventNumber: number, eventName: name, ...fields},
      // Bunyan would interpret a % in the message as a format placeholder.
      '%s',
      message,
    );
  }
}

function toStream(
  destination: LogDestination | Writable | LineSink,
): NodeJS.WritableStream {
  if (destination === 'stdout') return process.stdout;
  if (destination === 'stderr') return process.stderr;
  return destination as NodeJS.WritableStream;
}

function serializeError(value: unknown): unknown {
  if (!(value instanceof Error)) return value;
  const {message, stack} = value;
  if (!(value instanceof TypedError)) return {message, stack};
  const {kind, remedy, run, details} = value;
  const base = {kind, message, remedy, run, info: details.info};
  // An internal error wraps its cause, whose stack locates the fault.
  return kind === 'internal'
    ? {...base, stack: details.cause?.stack ?? stack}
    : base;
}
