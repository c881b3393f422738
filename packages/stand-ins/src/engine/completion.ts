/** Answers that follow from the request alone, so that a test can judge them. */
import {createHash} from 'node:crypto';
import {
  type JsonObject,
  badRequest,
  readNumber,
  readString,
} from '../shared/input.js';

/** The fields of a completion request that decide its answer. */
export interface CompletionRequest {
  model: string;
  /** For `/v1/completions`. */
  prompt?: unknown;
  /** For `/v1/chat/completions`. */
  messages?: unknown;
  max_tokens?: number | null;
}

/** Which of the two common endpoints a request came to. */
export type CompletionKind = 'chat' | 'text';

const DIGEST_CHARS = 16;
const BLOCK_CHARS = 64;

/** The whole text of the right answer to a request. */
export function expectedCompletionText(request: CompletionRequest): string {
  return expectedTokens(request).join('');
}

/**
 * The right answer as a list of stream chunks: the words of the prompt, each
 * with its index, over and over when `max_tokens` asks for more, and a digest
 * of the whole request at the end.
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

/** The prompt of either kind of request as one text. */
export function readPromptText({prompt, messages}: CompletionRequest): string {
  if (!Array.isArray(messages)) return flattenContent(prompt);
  return (messages as JsonObject[])
    .map(({role, content}) => `${String(role)}: ${flattenContent(content)}`)
    .join('\n');
}

/**
 * Hashes of the whole blocks at the start of a prompt, each covering all
 * before it; these are the `prefixHash`es of cache events.
 */
export function computePrefixHashes(promptText: string): string[] {
  const blocks = Math.floor(promptText.length / BLOCK_CHARS);
  return Array.from({length: blocks}, (_, index) =>
    digest(promptText.slice(0, (index + 1) * BLOCK_CHARS)),
  );
}

/** Checks the fields that the engine needs. */
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

/** Who answers whom, for the JSON of an answer. */
export interface AnswerHeader {
  kind: CompletionKind;
  model: string;
  requestId: string;
}

/** The JSON of one stream chunk; the last one has a `finish_reason`. */
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

/** The JSON of a whole answer. */
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
