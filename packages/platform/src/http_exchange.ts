/** HTTP requests to external systems, with JSON responses and typed errors. */
import {type ErrorKind, TypedError, ERROR_KINDS} from '@mimosatack/errors';
import {type Dispatcher, request} from 'undici';
import {z} from 'zod';

export interface ExchangeRequest {
  /** Name of the system in error messages, such as `log service`. */
  system: string;
  baseUrl: string;
  /** Path and query. */
  path: string;
  method: 'GET' | 'POST';
  body?: Uint8Array | string;
  contentType?: string;
  headers?: Readonly<Record<string, string>>;
  timeoutMs: number;
  signal?: AbortSignal;
  dispatcher?: Dispatcher;
  /** Error kind if the system is unreachable or its response is invalid. */
  unreachableKind: 'platform-unavailable' | 'backend-unreachable';
}

const errorBodySchema = z.object({
  error: z.object({
    kind: z.string(),
    message: z.string().default(''),
    info: z.record(z.string(), z.unknown()).optional(),
  }),
});

/** Sends a request and validates the JSON response against `schema`. */
export async function exchangeJson<T>(
  spec: ExchangeRequest,
  schema: z.ZodType<T>,
): Promise<T> {
  const {statusCode, text} = await sendRequest(spec);
  const json = parseJson(text);
  if (statusCode >= 300) throw makeResponseError(spec, statusCode, json);
  const parsed = schema.safeParse(json);
  if (parsed.success) return parsed.data;
  throw new TypedError(
    spec.unreachableKind,
    `The ${spec.system} gave a malformed answer: ` +
      (parsed.error.issues[0]?.message ?? 'not JSON'),
  );
}

async function sendRequest(
  spec: ExchangeRequest,
): Promise<{statusCode: number; text: string}> {
  const timeout = AbortSignal.timeout(spec.timeoutMs);
  const signal = spec.signal
    ? AbortSignal.any([spec.signal, timeout])
    : timeout;
  try {
    const response = await request(spec.baseUrl + spec.path, {
      method: spec.method,
      body: spec.body ?? null,
      headers: {
        ...(spec.body === undefined
          ? {}
          : {'content-type': spec.contentType ?? 'application/json'}),
        ...spec.headers,
      },
      signal,
      dispatcher: spec.dispatcher,
    });
    return {
      statusCode: response.statusCode,
      text: await response.body.text(),
    };
  } catch (thrown) {
    throw new TypedError(
      spec.unreachableKind,
      `The ${spec.system} could not be reached.`,
      {cause: thrown instanceof Error ? thrown : new Error(String(thrown))},
    );
  }
}

function makeResponseError(
  spec: ExchangeRequest,
  statusCode: number,
  json: unknown,
): TypedError {
  const parsed = errorBodySchema.safeParse(json);
  if (!parsed.success) {
    return new TypedError(
      spec.unreachableKind,
      `The ${spec.system} answered with status ${statusCode}.`,
    );
  }
  const {kind, message, info} = parsed.data.error;
  const known = ERROR_KINDS.find(other => other === kind);
  const usedKind: ErrorKind = known ?? spec.unreachableKind;
  return new TypedError(usedKind, `The ${spec.system} says: ${message}`, {
    info,
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
