/** Sends a call to a backend server of a plain service. */
import {type ServiceContent} from '@mimosatack/agreed-state';
import {exchangeOnce} from '@mimosatack/dispatch-requests';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type BackendServerId} from '@mimosatack/types';
import {type KeptAnswer} from '@mimosatack/unrepeatable';
import {type CallerContext} from './caller_context.js';
import {type DispatchLimits} from './unrepeatable_request.js';

export interface ServiceCall {
  service: ServiceContent;
  callName: string;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
}

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const RETRY_AFTER_MS = 1_000;

/**
 * Sends the call to one backend server, and to another only while no byte was
 * written to a connection: after that, the call may have run. Resolves with the
 * answer whatever its status code.
 */
export async function sendToService(
  call: ServiceCall,
  terms: DispatchLimits,
  context: CallerContext,
): Promise<KeptAnswer> {
  const tried = new Set<BackendServerId>();
  for (;;) {
    const id = chooseServer(call, tried, context);
    try {
      return await sendTo(id, call, terms, context);
    } catch (thrown) {
      const error = toTypedError(thrown);
      const isLast = listUntried(call, tried, context).length <= 1;
      if (error.run !== 'not-run' || isLast) throw error;
      tried.add(id);
    }
  }
}

async function sendTo(
  id: BackendServerId,
  call: ServiceCall,
  terms: DispatchLimits,
  context: CallerContext,
): Promise<KeptAnswer> {
  const {clock, router} = context;
  const remainingMs = terms.startBeforeMs - clock.monotonicMs();
  if (remainingMs <= 0) throw makeDeadlineExceeded();
  const server = context.state().stewardship.findBackendServer(id);
  router.noteSent(id);
  try {
    const {statusCode, contentType, body} = await exchangeOnce({
      baseUrl: server?.baseUrl ?? '',
      path: `/calls/${encodeURIComponent(call.callName)}`,
      method: 'POST',
      headers: call.headers,
      body: call.body,
      connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, remainingMs),
      maxAnswerBytes: MAX_ANSWER_BYTES,
      signal: terms.signal,
    });
    return {statusCode, contentType, body};
  } finally {
    router.noteDone(id);
  }
}

function chooseServer(
  call: ServiceCall,
  tried: ReadonlySet<BackendServerId>,
  context: CallerContext,
): BackendServerId {
  const candidates = listUntried(call, tried, context);
  const id = context.router.choose({candidates, excluded: tried});
  if (id !== null) return id;
  throw new TypedError('overloaded', 'No backend server is there.', {
    run: 'not-run',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function listUntried(
  {service}: ServiceCall,
  tried: ReadonlySet<BackendServerId>,
  context: CallerContext,
): BackendServerId[] {
  return context
    .state()
    .stewardship.listBackendServers()
    .filter(server => server.pool === service.pool)
    .map(server => server.backendServerId)
    .filter(id => !tried.has(id));
}

function makeDeadlineExceeded(): TypedError {
  return new TypedError('deadline-exceeded', 'There was no time left.', {
    run: 'not-run',
  });
}
