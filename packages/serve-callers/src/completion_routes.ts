/** Routes for chat completions and completions, streamed or not. */
import {randomUUID} from 'node:crypto';
import {authenticateCaller} from '@mimosatack/authenticate';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {makeAdmissionRequest} from './admission_request.js';
import {type CallerContext} from './caller_context.js';
import {type CompletionJob} from './completion_job.js';
import {isCallerGone, runCompletion} from './completion_pipeline.js';
import {formatSelection, readCompletionRequest} from './completion_request.js';
import {sendError} from './error_replies.js';
import {readRequestOptions} from './request_options.js';

const PATHS = ['/v1/chat/completions', '/v1/completions'];

export function addCompletionRoutes(
  server: FastifyInstance,
  context: CallerContext,
): void {
  void server.register((scope, _options, done) => {
    // Engines get the original bytes of the body.
    scope.removeAllContentTypeParsers();
    scope.addContentTypeParser(
      'application/json',
      {parseAs: 'buffer'},
      (_incoming, body, parsed) => parsed(null, body),
    );
    PATHS.forEach(path => {
      scope.post(path, async (incoming, reply) => {
        await answerCompletion(path, incoming, reply, context);
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

async function answerCompletion(
  path: string,
  incoming: FastifyRequest,
  reply: FastifyReply,
  context: CallerContext,
): Promise<void> {
  const {stats, clock} = context;
  const arrivedAtMs = clock.monotonicMs();
  stats.noteStarted();
  let job: CompletionJob | null = null;
  try {
    job = readJob(path, incoming, arrivedAtMs, context);
    await runCompletion(job, reply, context);
    stats.noteAnswered();
    logAnswered(job, context);
  } catch (thrown) {
    sendFailure(thrown, job, reply, context);
  } finally {
    stats.noteEnded();
  }
}

/** Validates the entire request before admission. */
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
  const options = readRequestOptions(incoming.headers, {
    ...limits,
    defaultDeadlineMs: request.defaultDeadlineMs ?? limits.defaultDeadlineMs,
  });
  const workClass = request.isStreamed ? 'streamed' : 'whole';
  const work = {workClass, sizeBytes: body.length, arrivedAtMs} as const;
  return {
    requestId: randomUUID(),
    path,
    request,
    options,
    admission: makeAdmissionRequest(caller, options, work, context),
    isRepeatable: options.idempotencyKey === null,
  };
}

function sendFailure(
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
  const error = withRunOutcome(toTypedError(thrown), job);
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

/** A request that failed validation has not run. */
function withRunOutcome(
  error: TypedError,
  job: CompletionJob | null,
): TypedError {
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
