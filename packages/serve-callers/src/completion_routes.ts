/** Chat completions and completions, streamed or whole. */
import {randomUUID} from 'node:crypto';
import {authenticateCaller} from '@mimosatack/authenticate';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {makeAdmissionRequest} from './admission_terms.js';
import {type CallerContext} from './caller_context.js';
import {type CompletionJob} from './completion_job.js';
import {isCallerGone, runCompletion} from './completion_pipeline.js';
import {formatSelection, readCompletionRequest} from './completion_request.js';
import {sendError} from './error_replies.js';
import {readTerms} from './request_terms.js';

const PATHS = ['/v1/chat/completions', '/v1/completions'];

/** Adds the completion routes to the callers' server. */
export function addCompletionRoutes(
  server: FastifyInstance,
  context: CallerContext,
): void {
  void server.register((scope, _options, done) => {
    // Bodies are passed on as they came, so they are kept as bytes.
    scope.removeAllContentTypeParsers();
    scope.addContentTypeParser(
      'application/json',
      {parseAs: 'buffer'},
      (_incoming, body, parsed) => parsed(null, body),
    );
    PATHS.forEach(path => {
      scope.post(path, async (incoming, reply) => {
        await answer(path, incoming, reply, context);
        return reply;
      });
      scope.route({
        method: ['GET', 'PUT', 'DELETE', 'PATCH'],
        url: path,
        handler: () => {
          throw new TypedError('method-not-allowed', `POST to ${path}.`, {
            run: 'not-run',
          });
        },
      });
    });
    done();
  });
}

async function answer(
  path: string,
  incoming: FastifyRequest,
  reply: FastifyReply,
  context: CallerContext,
): Promise<void> {
  const {stats, clock} = context;
  const arrivedAtMs = clock.monotonicMs();
  stats.noteBegun();
  let job: CompletionJob | null = null;
  try {
    job = readJob(path, incoming, arrivedAtMs, context);
    await runCompletion(job, reply, context);
    stats.noteAnswered();
    logAnswered(job, context);
  } catch (thrown) {
    tellFailure(thrown, job, reply, context);
  } finally {
    stats.noteEnded();
  }
}

/** Reads and checks all of a request before any of it is acted on. */
function readJob(
  path: string,
  incoming: FastifyRequest,
  arrivedAtMs: number,
  context: CallerContext,
): CompletionJob {
  const {limits} = context;
  const {configuration} = context.state();
  const caller = authenticateCaller(
    incoming.headers.authorization,
    context.state(),
  );
  const body = Buffer.isBuffer(incoming.body) ? incoming.body : Buffer.alloc(0);
  const request = readCompletionRequest(body, configuration);
  const terms = readTerms(incoming.headers, {
    ...limits,
    defaultDeadlineMs: request.defaultDeadlineMs ?? limits.defaultDeadlineMs,
  });
  const workClass = request.isStreamed ? 'streamed' : 'whole';
  const work = {workClass, sizeBytes: body.length, arrivedAtMs} as const;
  return {
    requestId: randomUUID(),
    path,
    request,
    terms,
    admission: makeAdmissionRequest(caller, terms, work, context),
    isRepeatable: terms.idempotencyKey === null,
  };
}

function tellFailure(
  thrown: unknown,
  job: CompletionJob | null,
  reply: FastifyReply,
  context: CallerContext,
): void {
  const {stats, logger} = context;
  if (isCallerGone(thrown)) {
    stats.noteCallerGone();
    reply.hijack();
    return;
  }
  const error = withOutcome(toTypedError(thrown), job);
  stats.noteRefused(error.kind);
  if (job) {
    logger.log('request-refused', {
      requestId: job.requestId,
      model: formatSelection(job.request),
      error,
    });
  }
  if (!reply.sent) sendError(reply, error);
}

/** Before a job is read nothing can have run. */
function withOutcome(error: TypedError, job: CompletionJob | null): TypedError {
  return error.run === undefined
    ? error.withRun(job ? 'unknown' : 'not-run')
    : error;
}

function logAnswered(job: CompletionJob, {logger, clock}: CallerContext): void {
  logger.log('request-answered', {
    requestId: job.requestId,
    model: formatSelection(job.request),
    durationMs: clock.monotonicMs() - job.admission.arrivedAtMs,
  });
}
