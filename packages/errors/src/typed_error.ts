import VError from 'verror';
import {type ErrorKind, type RunOutcome, describeKind} from './kinds.js';

/** What the place that raises an error may say beyond its kind. */
export interface ErrorDetails {
  /** What to do about it; the kind's own remedy when left out. */
  remedy?: string;
  /** What is known of the work; left out where no work was asked for. */
  run?: RunOutcome;
  /** When the same request is worth sending again. */
  retryAfterMs?: number;
  /** The error that led to this one. */
  cause?: Error;
  /** Plain values that help to find the cause; never secrets. */
  info?: Readonly<Record<string, unknown>>;
}

/** The JSON form of an error in answers to callers and operators. */
export interface ErrorBody {
  error: {
    kind: ErrorKind;
    message: string;
    remedy: string;
    run?: RunOutcome;
    retryAfterMs?: number;
    info?: Readonly<Record<string, unknown>>;
  };
}

/** The one error class of the system. */
export class TypedError extends VError {
  readonly remedy: string;
  readonly run: RunOutcome | undefined;
  readonly retryAfterMs: number | undefined;

  constructor(
    readonly kind: ErrorKind,
    readonly summary: string,
    readonly details: ErrorDetails = {},
  ) {
    super(
      {name: kind, cause: details.cause, info: details.info},
      '%s',
      summary,
    );
    this.remedy = details.remedy ?? describeKind(kind).remedy;
    this.run = details.run;
    this.retryAfterMs = details.retryAfterMs;
  }

  /** The same error with what is known of the work added. */
  withRun(run: RunOutcome): TypedError {
    return new TypedError(this.kind, this.summary, {...this.details, run});
  }
}

/** Turns anything thrown into a typed error; unknown things are `internal`. */
export function toTypedError(thrown: unknown): TypedError {
  if (thrown instanceof TypedError) return thrown;
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
  return new TypedError('internal', 'Something unexpected failed', {cause});
}

/** The JSON body in which an error is told. */
export function formatErrorBody(error: TypedError): ErrorBody {
  return {
    error: {
      kind: error.kind,
      message: error.message,
      remedy: error.remedy,
      run: error.run,
      retryAfterMs: error.retryAfterMs,
      info: error.details.info,
    },
  };
}
