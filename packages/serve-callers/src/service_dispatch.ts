/** Hands a call to a backend server of a plain service. */
import {type ServiceContent} from '@mimosatack/agreed-state';
import {exchangeOnce} from '@mimosatack/dispatch-requests';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type BackendServerId} from '@mimosatack/types';
import {type KeptAnswer} from '@mimosatack/unrepeatable';
import {type CallerContext} from './caller_context.js';
import {type DispatchTerms} from './unrepeatable_request.js';

/** A call, ready to be handed over. */
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
 * Hands the call to one backend server. Only while nothing of it has been
 * written to a connection does it go to another one: after that nobody can
 * tell whether it ran. An answer is passed on as it is, whatever its status.
 */
export async function sendToService(
  call: ServiceCall,
  terms: DispatchTerms,
  context: CallerContext,
): Promise<KeptAnswer> {
  const tried = new Set<BackendServerId>();
  for (;;) {
    const id = chooseServer(call, tried, context);
    try {
      return await sendTo(id, call, terms, context);
    } catch (thrown) {
      const error = toTypedError(thrown);
      const isLast = listOpen(call, tried, context).length <= 1;
      if (error.run !== 'not-run' || isLast) throw error;
      tried.add(id);
    }
  }
}

async function sendTo(
  id: BackendServerId,
  call: ServiceCall,
  terms: DispatchTerms,
  context: CallerContext,
): Promise<KeptAnswer> {
  const {clock, router} = context;
  const remainingMs = terms.startBeforeMs - clock.monotonicMs();
  if (remainingMs <= 0) throw makeTooLate();
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
  const candidates = listOpen(call, tried, context);
  const id = context.router.choose({candidates, excluded: tried});
  if (id !== null) return id;
  throw new TypedError('overloaded', 'No backend server is there.', {
    run: 'not-run',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function listOpen(
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

function makeTooLate(): TypedError {
  return new TypedError('deadline-exceeded', 'There was no time left.', {
    run: 'not-run',
  });
}
