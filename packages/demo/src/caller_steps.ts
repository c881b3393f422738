/** What the callers of the demo do. */
import {TypedError} from '@mimosatack/errors';
import {expectedCompletionText} from '@mimosatack/stand-ins';
import {request} from 'undici';

/** One entry as `/v1/entries` gives it. */
export interface Entry {
  nodeName: string;
  baseUrl: string;
  keyPrefix: string;
}

/** What one caller's request came to. */
export interface CallResult {
  isRight: boolean;
  firstTokenMs: number;
  detail: string;
}

/** Asks any node which addresses to use. */
export async function listEntries(baseUrl: string): Promise<Entry[]> {
  const response = await request(`${baseUrl}/v1/entries`);
  const answer = (await response.body.json()) as {entries: Entry[]};
  return answer.entries;
}

/** Streams one chat completion and checks the whole answer. */
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
  let raw = '';
  let firstTokenMs = 0;
  for await (const chunk of response.body) {
    firstTokenMs ||= performance.now() - beganMs;
    raw += String(chunk);
  }
  if (response.statusCode !== 200) {
    return {isRight: false, firstTokenMs, detail: raw};
  }
  const answer = readStreamText(raw);
  const isRight = answer === expectedCompletionText(body);
  return {isRight, firstTokenMs, detail: isRight ? 'whole' : answer};
}

/** Calls a plain service with an idempotency key. */
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

/** Calls `check` until it gives something; rejects after `timeoutMs`. */
export async function waitFor<T>(
  what: string,
  timeoutMs: number,
  check: () => Promise<T | null>,
): Promise<T> {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    const value = await check();
    if (value !== null) return value;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new TypedError('deadline-exceeded', `Waited too long for ${what}.`);
}

const POLL_MS = 50;

function readStreamText(raw: string): string {
  return raw
    .split('\n')
    .filter(line => line.startsWith('data: ') && line !== 'data: [DONE]')
    .map(line => JSON.parse(line.slice('data: '.length)) as StreamChunk)
    .map(chunk => chunk.choices[0]?.delta?.content ?? '')
    .join('');
}

interface StreamChunk {
  choices: {delta?: {content?: string}}[];
}
