/** The HTTP server for callers. */
import {
  TypedError,
  describeKind,
  formatErrorBody,
  toTypedError,
} from '@mimosatack/errors';
import {generationAt} from '@mimosatack/unrepeatable';
import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';
import {type CallerContext} from './caller_context.js';
import {addCompletionRoutes} from './completion_routes.js';
import {addDrainHooks} from './drain_hooks.js';
import {addResumeRoutes} from './resume_routes.js';
import {addServiceRoutes} from './service_routes.js';

/** Request tokens are longer than what fastify lets through by default. */
const MAX_PARAMETER_CHARS = 1024;

/** Builds the callers' server; the node listens with it and closes it. */
export function buildCallerServer(context: CallerContext): FastifyInstance {
  const server = fastify({
    bodyLimit: context.limits.maxBodyBytes,
    routerOptions: {maxParamLength: MAX_PARAMETER_CHARS},
    serverFactory: context.serverFactory,
  });
  server.setErrorHandler((thrown, _incoming, reply) => {
    sendError(reply, readHttpError(thrown));
  });
  server.setNotFoundHandler((incoming, reply) => {
    sendError(
      reply,
      new TypedError('not-found', `There is no ${incoming.url}.`),
    );
  });
  addDrainHooks(server, context);
  server.get('/healthz', () => ({status: 'ok'}));
  server.get('/v1/entries', () => describeEntries(context));
  addCompletionRoutes(server, context);
  addServiceRoutes(server, context);
  addResumeRoutes(server, context);
  return server;
}

function describeEntries(context: CallerContext) {
  const generation = generationAt(context.clock.wallMs());
  return {
    ttlMs: context.limits.entriesTtlMs,
    entries: context.listEntries().map(entry => ({
      nodeName: entry.nodeName,
      baseUrl: entry.baseUrl,
      failureDomain: entry.failureDomain,
      region: entry.region,
      keyPrefix: context.mint.makePrefix(entry.incarnation, generation),
    })),
  };
}

function sendError(reply: FastifyReply, error: TypedError): void {
  if (error.retryAfterMs !== undefined) {
    void reply.header('retry-after', Math.ceil(error.retryAfterMs / 1000));
  }
  void reply
    .code(describeKind(error.kind).httpStatus)
    .send(formatErrorBody(error));
}

/** Fastify's own refusals, such as a body that is no JSON, made typed. */
function readHttpError(thrown: unknown): TypedError {
  const statusCode = (thrown as {statusCode?: number}).statusCode;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  if (thrown instanceof TypedError || statusCode === undefined) {
    return toTypedError(thrown);
  }
  if (statusCode === 413) {
    return new TypedError('body-too-large', message, {run: 'not-run'});
  }
  return statusCode < 500
    ? new TypedError('bad-request', message, {run: 'not-run'})
    : toTypedError(thrown);
}
