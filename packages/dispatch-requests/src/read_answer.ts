/** Reads whole answers of backend servers and maps their errors to kinds. */
import {TypedError} from '@mimosatack/errors';
import {type Dispatcher} from 'undici';
import {z} from 'zod';

/** A whole answer with a status below 300. */
export interface WholeAnswer {
  statusCode: number;
  contentType: string;
  body: Buffer;
}

const MAX_ERROR_BYTES = 65_536;
const errorSchema = z.object({
  error: z.object({
    kind: z.string().optional(),
    message: z.string().default(''),
  }),
});
const completionSchema = z.looseObject({
  choices: z.array(z.unknown()),
  request_id: z.string().optional(),
});

/** Reads the whole body; rejects with `answer-too-large` beyond `maxBytes`. */
export async function readWhole(
  response: Dispatcher.ResponseData,
  maxBytes: number,
): Promise<WholeAnswer> {
  const chunks: Buffer[] = [];
  let byteCount = 0;
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    byteCount += chunk.length;
    if (byteCount > maxBytes) {
      response.body.destroy();
      throw new TypedError(
        'answer-too-large',
        `The answer is longer than ${maxBytes} bytes.`,
        {run: 'ran'},
      );
    }
    chunks.push(chunk);
  }
  return {
    statusCode: response.statusCode,
    contentType: readContentType(response),
    body: Buffer.concat(chunks, byteCount),
  };
}

export function readContentType(response: Dispatcher.ResponseData): string {
  const value = response.headers['content-type'];
  return Array.isArray(value) ? value.join(',') : (value ?? 'application/json');
}

/**
 * Guards against an answer that belongs to another request or is cut short:
 * an engine that mixes up its answers sends another's `request_id`, and a
 * torn answer is no JSON. Neither is passed on.
 */
export function checkCompletion(
  answer: WholeAnswer,
  engineRequestId: string,
): void {
  const parsed = completionSchema.safeParse(parseJson(answer.body));
  if (!parsed.success) {
    throw new TypedError(
      'backend-failed',
      'The engine gave a malformed answer.',
      {run: 'unknown'},
    );
  }
  const {request_id: answeredId} = parsed.data;
  if (answeredId === undefined || answeredId === engineRequestId) return;
  throw new TypedError(
    'backend-failed',
    'The engine gave the answer to another request.',
    {run: 'unknown'},
  );
}

/**
 * The error that an answer with a status of 300 or more tells. The engine had
 * the request in hand, but one that it refuses (4xx) did not run.
 */
export async function readRefusal(
  response: Dispatcher.ResponseData,
): Promise<TypedError> {
  const {statusCode} = response;
  const answer = await readWhole(response, MAX_ERROR_BYTES).catch(() => null);
  const parsed = errorSchema.safeParse(answer && parseJson(answer.body));
  const told = parsed.success ? parsed.data.error : {kind: '', message: ''};
  const message = `The engine answered ${statusCode}: ${told.message}`;
  if (statusCode === 404 && told.kind === 'unknown-model') {
    return new TypedError('not-warm', message, {run: 'not-run'});
  }
  if (statusCode === 429) {
    return new TypedError('overloaded', message, {run: 'not-run'});
  }
  if (statusCode >= 400 && statusCode < 500) {
    return new TypedError('bad-request', message, {run: 'not-run'});
  }
  return new TypedError('backend-failed', message, {run: 'unknown'});
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
