/** Tells callers of errors: typed JSON with the remedy. */
import {
  TypedError,
  describeKind,
  formatErrorBody,
  toTypedError,
} from '@mimosatack/errors';
import {type FastifyReply} from 'fastify';

const SECOND_MS = 1_000;

/** Sends an error as the whole answer. */
export function sendError(reply: FastifyReply, error: TypedError): void {
  if (error.retryAfterMs !== undefined) {
    // The first is the standard one; stock clients also know the second,
    // which keeps the spread that whole seconds would lose.
    void reply
      .header('retry-after', Math.ceil(error.retryAfterMs / SECOND_MS))
      .header('retry-after-ms', Math.ceil(error.retryAfterMs));
  }
  void reply
    .code(describeKind(error.kind).httpStatus)
    .send(formatErrorBody(error));
}

/** Fastify's own refusals, such as of a body that is too large, made typed. */
export function readHttpError(thrown: unknown): TypedError {
  const statusCode = (thrown as {statusCode?: number}).statusCode;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  if (thrown instanceof TypedError || statusCode === undefined) {
    return toTypedError(thrown);
  }
  if (statusCode === 413) {
    return new TypedError('body-too-large', message, {run: 'not-run'});
  }
  if (statusCode === 415) {
    return new TypedError('unsupported-media-type', message, {run: 'not-run'});
  }
  return statusCode < 500
    ? new TypedError('bad-request', message, {run: 'not-run'})
    : toTypedError(thrown);
}
