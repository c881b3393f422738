/** Sends errors to callers as typed JSON. */
import {
  TypedError,
  findErrorKindInfo,
  formatErrorBody,
  toTypedError,
} from '@mimosatack/errors';
import {type FastifyReply} from 'fastify';

const SECOND_MS = 1_000;

export function sendError(reply: FastifyReply, error: TypedError): void {
  if (error.retryAfterMs !== undefined) {
    // `retry-after` has a resolution of seconds; clients that also read
    // `retry-after-ms` keep the random spread of retry times.
    void reply
      .header('retry-after', Math.ceil(error.retryAfterMs / SECOND_MS))
      .header('retry-after-ms', Math.ceil(error.retryAfterMs));
  }
  void reply
    .code(findErrorKindInfo(error.kind).httpStatus)
    .send(formatErrorBody(error));
}

/** Converts fastify's own errors, such as a body over the limit. */
export function toTypedHttpError(thrown: unknown): TypedError {
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
