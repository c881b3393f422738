/** Routes for calls to plain services, some of which run at most once. */
import {type IncomingHttpHeaders} from 'node:http';
import {type ServiceContent} from '@mimosatack/agreed-state';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type KeptAnswer} from '@mimosatack/unrepeatable';
import {type FastifyInstance, type FastifyRequest} from 'fastify';
import {type Caller, authenticateCaller} from '@mimosatack/authenticate';
import {type CallerContext} from './caller_context.js';
import {type RequestOptions, readRequestOptions} from './request_options.js';
import {type ServiceCall, sendToService} from './service_dispatch.js';
import {
  findRunBeforeKeyLookup,
  isUnrepeatableCall,
  readUnrepeatable,
} from './unrepeatable_calls.js';
import {FORWARDED_HEADER} from './unrepeatable_forward.js';
import {
  type StartRun,
  type UnrepeatableAnswer,
  type UnrepeatableRequest,
} from './unrepeatable_request.js';

interface ServiceRoute {
  Params: {service: string; call: string};
}

const DEFAULT_CONTENT_TYPE = 'application/json';
/** Caller headers that are sent to backend servers and other nodes. */
const PASS_THROUGH_HEADERS = ['content-type', 'x-request-id', 'x-priority'];

export function addServiceRoutes(
  server: FastifyInstance,
  context: CallerContext,
): void {
  void server.register(async scope => {
    parseBodiesAsBuffers(scope);
    scope.post<ServiceRoute>(
      '/v1/services/:service/:call',
      async (incoming, reply) => {
        const {answer, headers} = await answerCall(incoming, context);
        return reply
          .code(answer.statusCode)
          .headers(headers)
          .type(answer.contentType)
          .send(Buffer.from(answer.body));
      },
    );
  });
}

/** Services get the original bytes of the body. */
function parseBodiesAsBuffers(scope: FastifyInstance): void {
  scope.removeAllContentTypeParsers();
  scope.addContentTypeParser(
    '*',
    {parseAs: 'buffer'},
    (_incoming, body, done) => done(null, body),
  );
}

async function answerCall(
  incoming: FastifyRequest<ServiceRoute>,
  context: CallerContext,
): Promise<UnrepeatableAnswer> {
  try {
    return await runCall(incoming, context);
  } catch (thrown) {
    throw correctRunOutcome(toTypedError(thrown), incoming.headers);
  }
}

/**
 * Guards against a wrong `not-run` in a refusal before the key lookup, such as
 * for a deleted service: an earlier attempt with the key may have run.
 */
function correctRunOutcome(
  error: TypedError,
  headers: IncomingHttpHeaders,
): TypedError {
  const isBeforeKeyLookup =
    error.kind === 'not-found' || error.kind === 'bad-request';
  return isBeforeKeyLookup
    ? error.withRun(findRunBeforeKeyLookup(headers))
    : error;
}

async function runCall(
  incoming: FastifyRequest<ServiceRoute>,
  context: CallerContext,
): Promise<UnrepeatableAnswer> {
  const {headers, params, body} = incoming;
  const caller = authenticateCaller(headers.authorization, context.state());
  const options = readRequestOptions(headers, context.limits);
  const service = findService(params, context);
  const call: ServiceCall = {
    service,
    callName: params.call,
    headers: makeCallHeaders(headers, options),
    body: Buffer.isBuffer(body) ? body : Buffer.alloc(0),
  };
  const expiresAtMs =
    context.clock.monotonicMs() + findDeadlineMs(service, params.call, options);
  const isUnrepeatable =
    readUnrepeatable(headers) ||
    isUnrepeatableCall(
      {team: caller.team, ...params},
      context.state(),
      context.clock.wallMs(),
    );
  if (!isUnrepeatable) {
    const answer = await sendRepeatable(call, expiresAtMs, context);
    return {answer, isReplay: false, headers: {}};
  }
  return context.unrepeatable.run(
    makeUnrepeatableRequest(incoming, caller, call, options, expiresAtMs),
    makeStartRun(call, context),
  );
}

function makeStartRun(call: ServiceCall, context: CallerContext): StartRun {
  return terms => sendToService(call, terms, context);
}

function makeUnrepeatableRequest(
  incoming: FastifyRequest<ServiceRoute>,
  caller: Caller,
  call: ServiceCall,
  options: RequestOptions,
  expiresAtMs: number,
): UnrepeatableRequest {
  const {headers, url} = incoming;
  return {
    team: caller.team,
    idempotencyKey: options.idempotencyKey,
    path: url,
    body: call.body,
    expiresAtMs,
    headers: {
      ...call.headers,
      authorization: headers.authorization ?? '',
      'x-unrepeatable': 'true',
    },
    isForwarded: headers[FORWARDED_HEADER] !== undefined,
  };
}

async function sendRepeatable(
  call: ServiceCall,
  expiresAtMs: number,
  context: CallerContext,
): Promise<KeptAnswer> {
  const {clock} = context;
  const controller = new AbortController();
  const timer = clock.setTimer(expiresAtMs - clock.monotonicMs(), () =>
    controller.abort(),
  );
  const terms = {startBeforeMs: expiresAtMs, signal: controller.signal};
  try {
    return await sendToService(call, terms, context);
  } catch (thrown) {
    throw replaceOutcomeUnknown(
      toTypedError(thrown),
      controller.signal.aborted,
    );
  } finally {
    timer.cancel();
  }
}

/** A repeatable call has no key by which its outcome could be looked up. */
function replaceOutcomeUnknown(
  error: TypedError,
  hasTimedOut: boolean,
): TypedError {
  if (error.kind !== 'outcome-unknown') return error;
  return hasTimedOut
    ? new TypedError('deadline-exceeded', 'No answer came in time.', {
        run: 'unknown',
      })
    : new TypedError('backend-failed', 'The answer broke off.', {
        run: 'unknown',
        cause: error,
      });
}

function findService(
  {service, call}: ServiceRoute['Params'],
  context: CallerContext,
): ServiceContent {
  const content = context
    .state()
    .configuration.find('service', service)?.content;
  if (content && Object.hasOwn(content.calls, call)) return content;
  throw new TypedError('not-found', `There is no call ${service}/${call}.`, {
    run: 'not-run',
  });
}

function findDeadlineMs(
  service: ServiceContent,
  callName: string,
  {deadlineMs}: RequestOptions,
): number {
  return Math.min(deadlineMs, service.calls[callName]?.timeoutMs ?? deadlineMs);
}

function makeCallHeaders(
  headers: IncomingHttpHeaders,
  {idempotencyKey}: RequestOptions,
): Record<string, string> {
  const passed = PASS_THROUGH_HEADERS.flatMap(name => {
    const value = headers[name];
    return typeof value === 'string' ? [[name, value] as const] : [];
  });
  return {
    'content-type': DEFAULT_CONTENT_TYPE,
    ...Object.fromEntries(passed),
    ...(idempotencyKey === null ? {} : {'idempotency-key': idempotencyKey}),
  };
}
