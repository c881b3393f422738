/** The HTTP server for operators. */
import {
  TypedError,
  findErrorKindInfo,
  formatErrorBody,
  toTypedError,
} from '@mimosatack/errors';
import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {addAuditRoutes} from './audit_routes.js';
import {addDocumentRoutes} from './document_routes.js';
import {addEventRoutes} from './event_routes.js';
import {FoldWaiter} from './fold_waiter.js';
import {addHealthRoutes} from './health_routes.js';
import {addHostRoutes} from './host_routes.js';
import {SequenceOffsets} from './in_force.js';
import {type OperatorContext} from './operator_context.js';
import {Publisher, addPublishRoutes} from './publish_routes.js';
import {addStatusRoutes} from './status_routes.js';

const REQUEST_ID_HEADER = 'x-request-id';
const REQUEST_ID = /^[A-Za-z0-9._-]{1,64}$/;
const MAX_PARAM_LENGTH = 300;

/** Builds the server; the caller starts and closes it. */
export function buildOperatorServer(context: OperatorContext): FastifyInstance {
  const server = fastify({
    bodyLimit: context.maxBodyBytes,
    serverFactory: context.serverFactory,
    routerOptions: {maxParamLength: MAX_PARAM_LENGTH},
    genReqId: incoming => readRequestId(incoming.headers, context),
    frameworkErrors: (thrown, incoming, reply) =>
      sendError(thrown, incoming, reply, context),
  });
  server.addHook('onRequest', async (incoming, reply) => {
    void reply.header(REQUEST_ID_HEADER, incoming.id);
  });
  server.setErrorHandler((thrown, incoming, reply) =>
    sendError(thrown, incoming, reply, context),
  );
  server.setNotFoundHandler((incoming, reply) => {
    const error = new TypedError('not-found', `There is no ${incoming.url}.`, {
      remedy: 'docs/operators/cli.md names the routes.',
    });
    sendError(error, incoming, reply, context);
  });
  addRoutes(server, context);
  return server;
}

function addRoutes(server: FastifyInstance, context: OperatorContext): void {
  const waiter = new FoldWaiter(context.clock, context.follower);
  const publisher = new Publisher(context, waiter);
  const offsets = new SequenceOffsets();
  context.follower.onFold(folded => offsets.record(folded));
  addHealthRoutes(server, context);
  addDocumentRoutes(server, context);
  addPublishRoutes(server, context, publisher);
  addEventRoutes(server, context, publisher);
  addHostRoutes(server, context);
  addStatusRoutes(server, context, waiter, offsets);
  addAuditRoutes(server, context);
}

function readRequestId(
  headers: Readonly<Record<string, unknown>>,
  context: OperatorContext,
): string {
  const given = headers[REQUEST_ID_HEADER];
  return typeof given === 'string' && REQUEST_ID.test(given)
    ? given
    : context.makeRequestId();
}

function sendError(
  thrown: unknown,
  incoming: FastifyRequest,
  reply: FastifyReply,
  context: OperatorContext,
): void {
  const error = readHttpError(thrown);
  logError(error, incoming, context);
  if (error.retryAfterMs !== undefined) {
    void reply.header('retry-after', Math.ceil(error.retryAfterMs / 1000));
  }
  void reply
    .header(REQUEST_ID_HEADER, incoming.id)
    .code(findErrorKindInfo(error.kind).httpStatus)
    .send(formatErrorBody(hideInternalError(error)));
}

/** Internal details stay in the log; the request id links to the log entry. */
function hideInternalError(error: TypedError): TypedError {
  return error.kind === 'internal'
    ? new TypedError('internal', 'Something unexpected failed.', {
        remedy: `Look for the request id in this node's log.`,
      })
    : error;
}

function logError(
  error: TypedError,
  incoming: FastifyRequest,
  context: OperatorContext,
): void {
  if (error.kind === 'unauthorized') {
    context.logger.log('operator-unauthenticated', {
      remoteAddress: incoming.ip,
      error,
    });
  }
  if (error.kind === 'internal') {
    context.logger.log('operator-request-failed', {
      requestId: incoming.id,
      route: `${incoming.method} ${incoming.routeOptions?.url ?? ''}`,
      error,
    });
  }
}

/** Converts errors thrown by fastify, such as invalid JSON, to typed errors. */
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
