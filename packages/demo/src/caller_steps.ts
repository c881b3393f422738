/** Requests that the demo's callers send. */
import {TypedError} from '@mimosatack/errors';
import {expectedCompletionText} from '@mimosatack/stand-ins';
import {request} from 'undici';

/** A caller endpoint of a node, as listed by `/v1/entries`. */
export interface CallerEndpoint {
  nodeName: string;
  baseUrl: string;
  keyPrefix: string;
}

/** Result of one streamed chat completion. */
export interface CallResult {
  isCorrect: boolean;
  firstTokenMs: number;
  detail: string;
}

/** Lists the caller endpoints that the given node knows. */
export async function listEntries(baseUrl: string): Promise<CallerEndpoint[]> {
  const response = await request(`${baseUrl}/v1/entries`);
  const answer = (await response.body.json()) as {entries: CallerEndpoint[]};
  return answer.entries;
}

/** Streams one chat completion and compares it with the expected text. */
export async function streamChat(
  baseUrl: string,
  token: string,
  model: string,
  text: string,
): Promise<CallResult> {
  const body = {
    model,
    stream: true,
    messages: [{role: 'user', content: text}],
  };
  const beganMs = performance.now();
  const response = await request(`${baseUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${token}`,
    },
    body: JSON.stringify(body),
  });
  let responseText = '';
  let firstTokenMs = 0;
  for await (const chunk of response.body) {
    firstTokenMs ||= performance.now() - beganMs;
    responseText += String(chunk);
  }
  if (response.statusCode !== 200) {
    return {isCorrect: false, firstTokenMs, detail: responseText};
  }
  const answer = readStreamText(responseText);
  const isCorrect = answer === expectedCompletionText(body);
  return {isCorrect, firstTokenMs, detail: isCorrect ? 'whole' : answer};
}

/** Calls a service; a null `key` sends no idempotency key. */
export async function callService(
  baseUrl: string,
  token: string,
  path: string,
  key: string | null,
  body: unknown,
): Promise<{statusCode: number; text: string}> {
  const response = await request(`${baseUrl}/v1/services/${path}`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${token}`,
      ...(key === null ? {} : {'idempotency-key': key}),
    },
    body: JSON.stringify(body),
  });
  return {
    statusCode: response.statusCode,
    text: await response.body.text(),
  };
}

/** Polls `check` until it returns a value; rejects after `timeoutMs`. */
export async function waitFor<T>(
  what: string,
  timeoutMs: number,
  check: () => Promise<T | null>,
): Promise<T> {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    const value = await check();
    if (value !== null) return value;
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new TypedError('deadline-exceeded', `Timed out waiting for ${what}.`);
}

const POLL_INTERVAL_MS = 50;

function readStreamText(responseText: string): string {
  return responseText
    .split('\n')
    .filter(line => line.startsWith('data: ') && line !== 'data: [DONE]')
    .map(line => JSON.parse(line.slice('data: '.length)) as StreamChunk)
    .map(chunk => chunk.choices[0]?.delta?.content ?? '')
    .join('');
}

interface StreamChunk {
  choices: {delta?: {content?: string}}[];
}
