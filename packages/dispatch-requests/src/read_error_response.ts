/** Maps error responses of engines to typed errors. */
import {TypedError} from '@mimosatack/errors';
import {type Dispatcher} from 'undici';
import {z} from 'zod';

const MAX_ERROR_CHARS = 65_536;
const errorSchema = z.object({
  error: z.object({
    kind: z.string().optional(),
    message: z.string().default(''),
  }),
});
/**
 * Converts a response with a status of 300 or more to an error. A request that
 * the engine rejects (4xx) has not run.
 */
export async function readErrorResponse(
  response: Dispatcher.ResponseData,
): Promise<TypedError> {
  const {statusCode} = response;
  const text = await readText(response).catch(() => '');
  const parsed = errorSchema.safeParse(parseJson(text));
  const engineError = parsed.success
    ? parsed.data.error
    : {kind: '', message: ''};
  const message = `The engine answered ${statusCode}: ${engineError.message}`;
  if (statusCode === 404 && engineError.kind === 'unknown-model') {
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

async function readText(response: Dispatcher.ResponseData): Promise<string> {
  let text = '';
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    text += chunk.toString('utf8');
    if (text.length > MAX_ERROR_CHARS) break;
  }
  return text;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
