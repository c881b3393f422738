/** The streams of an engine over HTTP: the first one, again, and its cancel. */
import {type OpenStream} from '@mimosatack/answer-streams';
import {TypedError} from '@mimosatack/errors';
import {type Dispatcher, request} from 'undici';

/** A request as its engine knows it. */
export interface EngineRequest {
  /** Base URL of the engine. */
  baseUrl: string;
  engineRequestId: string;
}

const HEADERS_TIMEOUT_MS = 2_000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** Takes over the body of a response in hand. */
export function takeStream(response: Dispatcher.ResponseData): OpenStream {
  const {body} = response;
  // A body that is closed early reports it as an error that nobody awaits.
  body.on('error', () => undefined);
  return {bytes: body, close: () => void body.destroy()};
}

/**
 * Asks the engine for the stream again, from an event on. Rejects with
 * `not-found` when the engine does not keep it, else with
 * `backend-unreachable` or `backend-failed`.
 */
export async function resumeStream(
  {baseUrl, engineRequestId}: EngineRequest,
  fromId: number,
  signal: AbortSignal,
): Promise<OpenStream> {
  const url = `${urlOf(baseUrl, engineRequestId)}/stream?from=${fromId}`;
  const response = await send(url, 'GET', signal);
  if (response.statusCode === HTTP_OK) return takeStream(response);
  await response.body.dump();
  throw response.statusCode === HTTP_NOT_FOUND
    ? new TypedError('not-found', 'The engine does not keep the request.')
    : new TypedError(
        'backend-failed',
        `The engine answered with status ${response.statusCode}.`,
        {run: 'unknown'},
      );
}

/** Cancels a request; rejects when the engine did not take it in. */
export async function cancelAtEngine(
  {baseUrl, engineRequestId}: EngineRequest,
  signal?: AbortSignal,
): Promise<void> {
  const url = `${urlOf(baseUrl, engineRequestId)}/cancel`;
  const response = await send(url, 'POST', signal);
  await response.body.dump();
}

function urlOf(baseUrl: string, engineRequestId: string): string {
  return `${baseUrl}/v1/requests/${encodeURIComponent(engineRequestId)}`;
}

async function send(
  url: string,
  method: 'GET' | 'POST',
  signal?: AbortSignal,
): Promise<Dispatcher.ResponseData> {
  try {
    const headersTimeout = HEADERS_TIMEOUT_MS;
    return await request(url, {method, signal, headersTimeout});
  } catch (thrown) {
    throw new TypedError('backend-unreachable', 'The engine did not answer.', {
      run: 'unknown',
      cause: thrown instanceof Error ? thrown : new Error(String(thrown)),
    });
  }
}
