/** A request that is sent once and answered in one piece. */
import {TypedError} from '@mimosatack/errors';
import {type Dispatcher} from 'undici';
import {type OwnConnectionRequest, sendOnce} from './own_connection.js';

/** A request that must not be sent twice, with a bound on its answer. */
export interface WholeAnswerRequest extends OwnConnectionRequest {
  maxAnswerBytes: number;
}

/** The answer as it came, whatever its status. */
export interface WholeAnswer {
  statusCode: number;
  headers: Dispatcher.ResponseData['headers'];
  contentType: string;
  body: Uint8Array;
}

/**
 * Sends a request once and reads its whole answer. Every error says by `run`
 * what is known: `ran` for an answer that is too large, `unknown` for one that
 * breaks off.
 */
export async function exchangeOnce(
  spec: WholeAnswerRequest,
): Promise<WholeAnswer> {
  const sent = await sendOnce(spec);
  const {response} = sent;
  try {
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
      if (byteCount > maxBytes) throw makeTooLarge(maxBytes);
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

function makeTooLarge(maxBytes: number): TypedError {
  return new TypedError(
    'answer-too-large',
    `The request ran, but its answer is over ${maxBytes} bytes.`,
    {run: 'ran'},
  );
}

function readContentType(value: string | string[] | undefined): string {
  return String(value ?? 'application/octet-stream');
}
