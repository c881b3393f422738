/** The HTTP server for operators. */
import {
  TypedError,
  describeKind,
  formatErrorBody,
  toTypedError,
} from '@mimosatack/errors';
import fastify, {type FastifyInstance} from 'fastify';
import {addDocumentRoutes} from './document_routes.js';
import {type OperatorContext} from './operator_context.js';
import {addStatusRoutes} from './status_routes.js';

/** Builds the operators' server; the node listens with it and closes it. */
export function buildOperatorServer(context: OperatorContext): FastifyInstance {
  const server = fastify({bodyLimit: context.maxBodyBytes});
  server.setErrorHandler((thrown, _incoming, reply) => {
    const error = readHttpError(thrown);
    void reply
      .code(describeKind(error.kind).httpStatus)
      .send(formatErrorBody(error));
  });
  server.get('/healthz', () => ({status: 'ok'}));
  addDocumentRoutes(server, context);
  addStatusRoutes(server, context);
  return server;
}

function readHttpError(thrown: unknown): TypedError {
  const statusCode = (thrown as {statusCode?: number}).statusCode;
  if (thrown instanceof TypedError || statusCode === undefined) {
    return toTypedError(thrown);
  }
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  if (statusCode === 413) return new TypedError('body-too-large', message);
  return statusCode < 500
    ? new TypedError('bad-request', message)
    : toTypedError(thrown);
}
