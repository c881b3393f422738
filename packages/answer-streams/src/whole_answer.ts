/** Reads and checks a response that is not streamed. */
import {TypedError, toTypedError} from '@mimosatack/errors';
import {z} from 'zod';
import {toAbortError} from './abort_error.js';
import {type OpenStream} from './answer_reader.js';

export interface WholeAnswerOptions {
  /** The id by which the engine knows the request. */
  requestId: string;
  maxAnswerBytes: number;
  signal: AbortSignal;
}

const responseSchema = z.looseObject({
  id: z.string().optional(),
  request_id: z.string().optional(),
  choices: z.array(z.unknown()).min(1),
});

/**
 * Reads a complete response and returns its bytes unchanged. Rejects with
 * `backend-failed` if the response is truncated, malformed or of another
 * request, and with `answer-too-large` if it exceeds `maxAnswerBytes`.
 */
export async function readWholeAnswer(
  stream: OpenStream,
  options: WholeAnswerOptions,
): Promise<Buffer> {
  const close = () => stream.close();
  options.signal.addEventListener('abort', close, {once: true});
  try {
    const body = await readBytes(stream, options);
    checkResponse(body, options.requestId);
    return body;
  } finally {
    options.signal.removeEventListener('abort', close);
  }
}

async function readBytes(
  stream: OpenStream,
  {maxAnswerBytes, signal}: WholeAnswerOptions,
): Promise<Buffer> {
  const parts: Uint8Array[] = [];
  let sizeBytes = 0;
  try {
    for await (const part of stream.bytes) {
      sizeBytes += part.length;
      if (sizeBytes > maxAnswerBytes) {
        stream.close();
        throw new TypedError(
          'answer-too-large',
          `The answer has more than ${maxAnswerBytes} bytes.`,
          {run: 'ran'},
        );
      }
      parts.push(part);
    }
  } catch (thrown) {
    throw toReadError(thrown, signal);
  }
  return Buffer.concat(parts);
}

function toReadError(thrown: unknown, signal: AbortSignal): TypedError {
  if (signal.aborted) return toAbortError(signal);
  if (thrown instanceof TypedError) return thrown;
  return failure('The answer was cut short.', toTypedError(thrown));
}

/** Guards against an engine that sends the response of another request. */
function checkResponse(body: Buffer, requestId: string): void {
  const parsed = responseSchema.safeParse(parseJson(body));
  if (!parsed.success) throw failure('The answer is not a whole JSON answer.');
  const {request_id: requestIdInBody, id} = parsed.data;
  const isMatch =
    requestIdInBody === undefined
      ? !!id?.includes(requestId)
      : requestIdInBody === requestId;
  if (!isMatch) throw failure("The answer is another request's.");
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

function failure(summary: string, cause?: Error): TypedError {
  return new TypedError('backend-failed', summary, {
    run: 'unknown',
    cause,
  });
}
