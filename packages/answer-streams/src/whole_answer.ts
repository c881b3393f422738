/** Checks an answer that comes in one piece. */
import {TypedError, toTypedError} from '@mimosatack/errors';
import {z} from 'zod';
import {asAbortError} from './abort_error.js';
import {type OpenStream} from './answer_reader.js';

/** What a whole answer is read with. */
export interface WholeAnswerOptions {
  /** The id by which the engine knows the request. */
  requestId: string;
  maxAnswerBytes: number;
  signal: AbortSignal;
}

const answerSchema = z.looseObject({
  id: z.string().optional(),
  request_id: z.string().optional(),
  choices: z.array(z.unknown()).min(1),
});

/**
 * Reads a whole answer and returns its bytes unchanged. Rejects with
 * `backend-failed` when it is cut short, no JSON, or another request's, and
 * with `answer-too-large`.
 */
export async function readWholeAnswer(
  stream: OpenStream,
  options: WholeAnswerOptions,
): Promise<Buffer> {
  const close = () => stream.close();
  options.signal.addEventListener('abort', close, {once: true});
  try {
    const body = await collect(stream, options);
    checkAnswer(body, options.requestId);
    return body;
  } finally {
    options.signal.removeEventListener('abort', close);
  }
}

async function collect(
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
    throw describeFailure(thrown, signal);
  }
  return Buffer.concat(parts);
}

function describeFailure(thrown: unknown, signal: AbortSignal): TypedError {
  if (signal.aborted) return asAbortError(signal);
  if (thrown instanceof TypedError) return thrown;
  return failed('The answer was cut short.', toTypedError(thrown));
}

/**
 * Guards against crossed answers: an engine that mixes up two requests gives
 * a caller a stranger's answer, which reads well and is wrong. An answer that
 * does not name this request is not passed on.
 */
function checkAnswer(body: Buffer, requestId: string): void {
  const parsed = answerSchema.safeParse(parseJson(body));
  if (!parsed.success) throw failed('The answer is not a whole JSON answer.');
  const {request_id: named, id} = parsed.data;
  const isOwn =
    named === undefined ? !!id?.includes(requestId) : named === requestId;
  if (!isOwn) throw failed("The answer is another request's.");
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

function failed(summary: string, cause?: Error): TypedError {
  return new TypedError('backend-failed', summary, {run: 'unknown', cause});
}
