/** The HTTP server for callers. */
import {TypedError} from '@mimosatack/errors';
import {generationAt} from '@mimosatack/unrepeatable';
import fastify, {type FastifyInstance} from 'fastify';
import {type CallerContext} from './caller_context.js';
import {addCompletionRoutes} from './completion_routes.js';
import {addDrainHooks} from './drain_hooks.js';
import {toTypedHttpError, sendError} from './error_replies.js';
import {addModelRoutes} from './model_routes.js';
import {addResumeRoutes} from './resume_routes.js';
import {addServiceRoutes} from './service_routes.js';

/** Request tokens exceed fastify's default limit for path parameters. */
const MAX_PARAMETER_CHARS = 1024;

/** Builds the HTTP server for callers without starting to listen. */
export function buildCallerServer(context: CallerContext): FastifyInstance {
  const server = fastify({
    bodyLimit: context.limits.maxBodyBytes,
    routerOptions: {maxParamLength: MAX_PARAMETER_CHARS},
    serverFactory: context.serverFactory,
  });
  server.setErrorHandler((thrown, _incoming, reply) => {
    const error = toTypedHttpError(thrown);
    context.stats.noteRefused(error.kind);
    sendError(reply, error);
  });
  server.setNotFoundHandler((incoming, reply) => {
    sendError(
      reply,
      new TypedError('not-found', `There is no ${incoming.url}.`, {
        run: 'not-run',
      }),
    );
  });
  addDrainHooks(server, context);
  server.get('/healthz', () => ({status: 'ok'}));
  server.get('/v1/entries', () => describeEntries(context));
  addModelRoutes(server, context);
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
      keyPrefix: context.tokenSigner.makePrefix(entry.incarnation, generation),
    })),
  };
}
