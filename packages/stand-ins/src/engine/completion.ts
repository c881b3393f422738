/** Deterministic answers, so that a test can check them from the request. */
import {createHash} from 'node:crypto';
import {
  type JsonObject,
  badRequest,
  readNumber,
  readString,
} from '../shared/input.js';

/** The fields of a completion request that determine its answer. */
export interface CompletionRequest {
  model: string;
  /** For `/v1/completions`. */
  prompt?: unknown;
  /** For `/v1/chat/completions`. */
  messages?: unknown;
  max_tokens?: number | null;
}

/** The endpoint of a request: chat completions or text completions. */
export type CompletionKind = 'chat' | 'text';

const DIGEST_CHARS = 16;
const BLOCK_CHARS = 64;

/** The full text of the correct answer to a request. */
export function expectedCompletionText(request: CompletionRequest): string {
  return expectedTokens(request).join('');
}

/**
 * The correct answer as a list of stream chunks: the words of the prompt, each
 * with its index, repeated up to `max_tokens`, then a digest of the request.
 */
export function expectedTokens(request: CompletionRequest): string[] {
  const prompt = readPromptText(request);
  const words = prompt.split(/\s+/).filter(word => word !== '');
  const count = request.max_tokens ?? words.length + 1;
  const echo = Array.from({length: Math.max(0, count - 1)}, (_, index) => {
    const word = words[index % Math.max(1, words.length)] ?? '';
    return `${index}:${word} `;
  });
  return [...echo, `#${digest(`${request.model}\n${count}\n${prompt}`)}`];
}

/** The prompt or the chat messages of a request as one text. */
export function readPromptText({prompt, messages}: CompletionRequest): string {
  if (!Array.isArray(messages)) return flattenContent(prompt);
  return (messages as JsonObject[])
    .map(({role, content}) => `${String(role)}: ${flattenContent(content)}`)
    .join('\n');
}

/**
 * Hashes of the complete blocks of a prompt, each covering all text up to the
 * end of its block; cache events carry these as `prefixHash`.
 */
export function computePrefixHashes(promptText: string): string[] {
  const blocks = Math.floor(promptText.length / BLOCK_CHARS);
  return Array.from({length: blocks}, (_, index) =>
    digest(promptText.slice(0, (index + 1) * BLOCK_CHARS)),
  );
}

/** Reads the fields that the engine needs; throws `bad-request`. */
export function readCompletionRequest(body: JsonObject): CompletionRequest {
  if (body['prompt'] === undefined && !Array.isArray(body['messages'])) {
    throw badRequest('Either prompt or messages is needed.');
  }
  return {
    model: readString(body, 'model'),
    prompt: body['prompt'],
    messages: body['messages'],
    max_tokens:
      body['max_tokens'] == null ? null : readNumber(body, 'max_tokens'),
  };
}

/** The fields that identify an answer in its JSON. */
export interface AnswerHeader {
  kind: CompletionKind;
  model: string;
  requestId: string;
}

/** The JSON of one stream chunk; the last chunk has a `finish_reason`. */
export function formatChunk(
  {kind, model, requestId}: AnswerHeader,
  text: string,
  isLast: boolean,
): string {
  const finish = {index: 0, finish_reason: isLast ? 'stop' : null};
  const isChat = kind === 'chat';
  const choice = isChat
    ? {...finish, delta: {role: 'assistant', content: text}}
    : {...finish, text};
  const object = isChat ? 'chat.completion.chunk' : 'text_completion';
  return JSON.stringify({
    id: `cmpl-${requestId}`,
    object,
    created: 0,
    model,
    request_id: requestId,
    choices: [choice],
  });
}

/** The JSON of an answer that is not streamed. */
export function formatAnswer(
  {kind, model, requestId}: AnswerHeader,
  tokens: readonly string[],
): object {
  const text = tokens.join('');
  const finish = {index: 0, finish_reason: 'stop'};
  const isChat = kind === 'chat';
  return {
    id: `cmpl-${requestId}`,
    object: isChat ? 'chat.completion' : 'text_completion',
    created: 0,
    model,
    request_id: requestId,
    choices: [
      isChat
        ? {...finish, message: {role: 'assistant', content: text}}
        : {...finish, text},
    ],
    usage: {
      prompt_tokens: 0,
      completion_tokens: tokens.length,
      total_tokens: tokens.length,
    },
  };
}

function flattenContent(content: unknown): string {
  if (typeof content === 'string') return content;
  if (!Array.isArray(content)) return '';
  return content.map(part => readPartText(part)).join(' ');
}

function readPartText(part: unknown): string {
  if (typeof part === 'string') return part;
  const text = (part as JsonObject | null)?.['text'];
  return typeof text === 'string' ? text : '';
}

function digest(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, DIGEST_CHARS);
}
