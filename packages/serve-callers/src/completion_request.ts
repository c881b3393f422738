/** Parses and validates the body of a completion request. */
import {type Configuration} from '@mimosatack/agreed-state';
import {TypedError} from '@mimosatack/errors';
import {z} from 'zod';

/** A model of the catalogue, or an adapter of a model. */
export interface ModelSelection {
  model: string;
  adapter: string | null;
}

/** A completion request with a valid body. */
export interface CompletionRequest extends ModelSelection {
  /** The original bytes, sent to the engine unchanged. */
  body: Buffer;
  isStreamed: boolean;
  /** The prompt as the single string that engines hash. */
  promptText: string;
  /** The deadline from the model's document, for requests without one. */
  defaultDeadlineMs: number | undefined;
}

const ADAPTER_SEPARATOR = ':';
const bodySchema = z.object({
  model: z.string().min(1).max(300),
  stream: z.boolean().nullish(),
  prompt: z.unknown().optional(),
  messages: z.array(z.unknown()).optional(),
});
const textPartSchema = z.object({text: z.string()});
const messageSchema = z.object({role: z.unknown(), content: z.unknown()});

/** Throws `bad-request`, or `not-found` for an unknown model or adapter. */
export function readCompletionRequest(
  body: Buffer,
  configuration: Configuration,
): CompletionRequest {
  const parsed = bodySchema.safeParse(parseJson(body));
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const place = issue?.path.join('.') || 'body';
    throw makeError('bad-request', `${place}: ${issue?.message ?? 'invalid'}`);
  }
  const {model, stream, prompt, messages} = parsed.data;
  if (messages === undefined && prompt == null) {
    throw makeError('bad-request', 'body: give either messages or a prompt.');
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

/** Looks up `model` or `model:adapter` in the catalogue. */
export function selectModel(
  text: string,
  configuration: Configuration,
): ModelSelection {
  const [model = '', adapter = null, ...rest] = text.split(ADAPTER_SEPARATOR);
  const content = configuration.find('model', model)?.content;
  if (!content) throw makeError('not-found', `There is no model ${model}.`);
  const isKnown = adapter === null || Object.hasOwn(content.adapters, adapter);
  if (isKnown && rest.length === 0) return {model, adapter};
  throw makeError('not-found', `There is no model ${text}.`);
}

/** The inverse of `selectModel`. */
export function formatSelection({model, adapter}: ModelSelection): string {
  return adapter === null ? model : model + ADAPTER_SEPARATOR + adapter;
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw makeError('bad-request', 'The body is not JSON.');
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

function makeError(kind: 'bad-request' | 'not-found', message: string) {
  return new TypedError(kind, message, {run: 'not-run'});
}
