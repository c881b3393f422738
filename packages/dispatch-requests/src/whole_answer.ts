/** Sends a request once and buffers its whole response. */
import {isInvalidStatus} from '@mimosatack/backend-connections';
import {TypedError} from '@mimosatack/errors';
import {type Dispatcher} from 'undici';
import {type OwnConnectionRequest, sendOnce} from './own_connection.js';

/** A request that must not run twice, with a limit on its response. */
export interface WholeAnswerRequest extends OwnConnectionRequest {
  maxAnswerBytes: number;
}

/** A response of any status, unmodified. */
export interface WholeAnswer {
  statusCode: number;
  headers: Dispatcher.ResponseData['headers'];
  contentType: string;
  body: Uint8Array;
}

/**
 * Sends a request once and reads its whole response. The `run` of an error is
 * `ran` for a response that is too large and `unknown` for a truncated one.
 */
export async function exchangeOnce(
  spec: WholeAnswerRequest,
): Promise<WholeAnswer> {
  const sent = await sendOnce(spec);
  const {response} = sent;
  try {
    if (isInvalidStatus(response.statusCode)) {
      throw makeStatusError(response.statusCode);
    }
    return {
      statusCode: response.statusCode,
      headers: response.headers,
      contentType: readContentType(response.headers['content-type']),
      body: await readBody(response.body, spec.maxAnswerBytes),
    };
  } finally {
    await sent.close();
  }
}

async function readBody(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let byteCount = 0;
  try {
    for await (const chunk of body) {
      chunks.push(chunk);
      byteCount += chunk.length;
      if (byteCount > maxBytes) throw makeTooLargeError(maxBytes);
    }
  } catch (thrown) {
    if (thrown instanceof TypedError) throw thrown;
    const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
    throw new TypedError('outcome-unknown', 'The answer broke off.', {
      run: 'unknown',
      cause,
    });
  }
  return Buffer.concat(chunks);
}

function makeTooLargeError(maxBytes: number): TypedError {
  return new TypedError(
    'answer-too-large',
    `The request ran, but its answer is over ${maxBytes} bytes.`,
    {run: 'ran'},
  );
}

function makeStatusError(statusCode: number): TypedError {
  return new TypedError(
    'outcome-unknown',
    `The answer has the invalid status ${statusCode}.`,
    {run: 'unknown'},
  );
}

function readContentType(value: string | string[] | undefined): string {
  return String(value ?? 'application/octet-stream');
}
