/** Reads the body of a completion request. */
import {type Configuration} from '@mimosatack/agreed-state';
import {TypedError} from '@mimosatack/errors';
import {z} from 'zod';

/** A model of the catalogue, or one of its adapters. */
export interface ModelSelection {
  model: string;
  adapter: string | null;
}

/** A completion request whose body is in order. */
export interface CompletionRequest extends ModelSelection {
  /** The body as it came; it is passed on unchanged. */
  body: Buffer;
  isStreamed: boolean;
  /** The prompt as one text, the way engines hash it. */
  promptText: string;
  /** The time a request has when it names none; from the model's document. */
  defaultDeadlineMs: number | undefined;
}

const SEPARATOR = ':';
const bodySchema = z.object({
  model: z.string().min(1).max(300),
  stream: z.boolean().nullish(),
  prompt: z.unknown().optional(),
  messages: z.array(z.unknown()).optional(),
});
const textPartSchema = z.object({text: z.string()});
const messageSchema = z.object({role: z.unknown(), content: z.unknown()});

/** Rejects with `bad-request`, or `not-found` for what is not published. */
export function readCompletionRequest(
  body: Buffer,
  configuration: Configuration,
): CompletionRequest {
  const parsed = bodySchema.safeParse(parseJson(body));
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const place = issue?.path.join('.') || 'body';
    throw refuse('bad-request', `${place}: ${issue?.message ?? 'invalid'}`);
  }
  const {model, stream, prompt, messages} = parsed.data;
  if (messages === undefined && prompt == null) {
    throw refuse('bad-request', 'body: give either messages or a prompt.');
  }
  const selection = selectModel(model, configuration);
  return {
    ...selection,
    body,
    isStreamed: stream === true,
    promptText: readPromptText(prompt, messages),
    defaultDeadlineMs: configuration.find('model', selection.model)?.content
      .defaultDeadlineMs,
  };
}

/** Finds `model` or `model:adapter` in the catalogue. */
export function selectModel(
  text: string,
  configuration: Configuration,
): ModelSelection {
  const [model = '', adapter = null, ...rest] = text.split(SEPARATOR);
  const content = configuration.find('model', model)?.content;
  if (!content) throw refuse('not-found', `There is no model ${model}.`);
  const isKnown = adapter === null || Object.hasOwn(content.adapters, adapter);
  if (isKnown && rest.length === 0) return {model, adapter};
  throw refuse('not-found', `There is no model ${text}.`);
}

/** The name that a caller uses for a model or an adapter of it. */
export function formatSelection({model, adapter}: ModelSelection): string {
  return adapter === null ? model : model + SEPARATOR + adapter;
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw refuse('bad-request', 'The body is not JSON.');
  }
}

function readPromptText(prompt: unknown, messages?: unknown[]): string {
  if (!messages) return flattenContent(prompt);
  return messages
    .map(message => messageSchema.safeParse(message).data)
    .map(
      message =>
        `${String(message?.role)}: ${flattenContent(message?.content)}`,
    )
    .join('\n');
}

function flattenContent(content: unknown): string {
  if (typeof content === 'string') return content;
  if (!Array.isArray(content)) return '';
  return content
    .map(part =>
      typeof part === 'string'
        ? part
        : (textPartSchema.safeParse(part).data?.text ?? ''),
    )
    .join(' ');
}

function refuse(kind: 'bad-request' | 'not-found', message: string) {
  return new TypedError(kind, message, {run: 'not-run'});
}
