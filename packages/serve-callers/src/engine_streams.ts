/** Opens, resumes and cancels the streams of an engine over HTTP. */
import {type OpenStream} from '@mimosatack/answer-streams';
import {TypedError} from '@mimosatack/errors';
import {type Dispatcher, request} from 'undici';

/** Identifies a request at its engine. */
export interface EngineRequest {
  baseUrl: string;
  engineRequestId: string;
}

const HEADERS_TIMEOUT_MS = 2_000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** Wraps the body of a received response as a stream. */
export function wrapResponseStream(
  response: Dispatcher.ResponseData,
): OpenStream {
  const {body} = response;
  // Prevents an uncaught error when the body is destroyed early.
  body.on('error', () => undefined);
  return {bytes: body, close: () => void body.destroy()};
}

/**
 * Requests the stream again, starting at event `fromId`. Rejects with
 * `not-found` when the engine no longer has the request, otherwise with
 * `backend-unreachable` or `backend-failed`.
 */
export async function resumeStream(
  {baseUrl, engineRequestId}: EngineRequest,
  fromId: number,
  signal: AbortSignal,
): Promise<OpenStream> {
  const url = `${requestUrl(baseUrl, engineRequestId)}/stream?from=${fromId}`;
  const response = await send(url, 'GET', signal);
  if (response.statusCode === HTTP_OK) return wrapResponseStream(response);
  await response.body.dump();
  throw response.statusCode === HTTP_NOT_FOUND
    ? new TypedError('not-found', 'The engine does not keep the request.')
    : new TypedError(
        'backend-failed',
        `The engine answered with status ${response.statusCode}.`,
        {run: 'unknown'},
      );
}

/** Rejects with `backend-unreachable` when the engine does not respond. */
export async function cancelAtEngine(
  {baseUrl, engineRequestId}: EngineRequest,
  signal?: AbortSignal,
): Promise<void> {
  const url = `${requestUrl(baseUrl, engineRequestId)}/cancel`;
  const response = await send(url, 'POST', signal);
  await response.body.dump();
}

function requestUrl(baseUrl: string, engineRequestId: string): string {
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
