import VError from 'verror';
import {type ErrorKind, type RunOutcome, findErrorKindInfo} from './kinds.js';

/** Optional details of an error beyond its kind and summary. */
export interface ErrorDetails {
  /** Defaults to the remedy of the kind. */
  remedy?: string;
  /** Whether the work was executed; omitted when the request asked for none. */
  run?: RunOutcome;
  /** Delay after which the same request may succeed. */
  retryAfterMs?: number;
  cause?: Error;
  /** Plain values for diagnosis; must not contain secrets. */
  info?: Readonly<Record<string, unknown>>;
}

/** The JSON body of error responses to callers and operators. */
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

/** The error class that all components raise. */
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
    this.remedy = details.remedy ?? findErrorKindInfo(kind).remedy;
    this.run = details.run;
    this.retryAfterMs = details.retryAfterMs;
  }

  /** Returns a copy of the error with its run outcome set. */
  withRun(run: RunOutcome): TypedError {
    return new TypedError(this.kind, this.summary, {...this.details, run});
  }
}

/** Converts a thrown value; anything but a `TypedError` becomes `internal`. */
export function toTypedError(thrown: unknown): TypedError {
  if (thrown instanceof TypedError) return thrown;
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
  return new TypedError('internal', 'Something unexpected failed', {cause});
}

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
