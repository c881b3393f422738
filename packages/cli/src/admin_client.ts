/** HTTP client of the admin API, with failover to the next node. */
import {
  ERROR_KINDS,
  type ErrorKind,
  TypedError,
  toTypedError,
} from '@mimosatack/errors';
import {Agent, type Dispatcher, request} from 'undici';
import {z} from 'zod';

export interface AdminRequest {
  method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  path: string;
  query?: Readonly<Record<string, string | number | undefined>>;
  body?: unknown;
}

export interface AdminClientOptions {
  /** Tried in order until one responds. */
  baseUrls: readonly string[];
  token: string;
  timeoutMs: number;
  /** CA certificates to trust in addition to those of the system, as PEM. */
  trustedCertificates?: string;
}

const CONNECT_TIMEOUT_MS = 3_000;
const PAGE_LIMIT = 500;
const CERTIFICATE_REMEDY =
  'Give the certificate of its authority with --ca-file, or correct the scheme.';

/** Error codes that occur before any byte of the request is sent. */
const CONNECT_ERROR_CODES = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Error codes of a failed TLS handshake, also before the request is sent. */
const TLS_ERROR_CODE = /CERT|^ERR_TLS|^ERR_SSL|^EPROTO$/;

const errorSchema = z.object({
  error: z.object({
    kind: z.string(),
    message: z.string(),
    remedy: z.string().optional(),
    retryAfterMs: z.number().optional(),
    info: z.record(z.string(), z.unknown()).optional(),
  }),
});

const pageSchema = z.looseObject({
  items: z.array(z.unknown()),
  nextCursor: z.string().nullable(),
});

/** A client of `/admin/v1`; its methods reject with a `TypedError`. */
export class AdminClient {
  private readonly dispatcher: Dispatcher;

  constructor(private readonly options: AdminClientOptions) {
    this.dispatcher = new Agent({
      connect: {
        timeout: CONNECT_TIMEOUT_MS,
        ca: options.trustedCertificates,
      },
      headersTimeout: options.timeoutMs,
      bodyTimeout: options.timeoutMs,
    });
  }

  /** Sends a request to the first reachable node and validates the response. */
  async send<T>(call: AdminRequest, schema: z.ZodType<T>): Promise<T> {
    const response = await this.sendToFirstReachable(call);
    const parsed = schema.safeParse(response);
    if (parsed.success) return parsed.data;
    throw new TypedError('internal', 'The node gave an unreadable answer.', {
      remedy: 'Use a tool of the same release as the node.',
    });
  }

  /** Reads all pages of a paginated list. */
  async list<T>(
    path: string,
    query: AdminRequest['query'],
    item: z.ZodType<T>,
  ): Promise<T[]> {
    const items: T[] = [];
    let cursor: string | undefined;
    do {
      const page = await this.send(
        {method: 'GET', path, query: {limit: PAGE_LIMIT, ...query, cursor}},
        pageSchema,
      );
      items.push(...z.array(item).parse(page.items));
      cursor = page.nextCursor ?? undefined;
    } while (cursor !== undefined);
    return items;
  }

  close(): Promise<void> {
    return this.dispatcher.close();
  }

  private async sendToFirstReachable(call: AdminRequest): Promise<unknown> {
    const failures: TypedError[] = [];
    const messages: string[] = [];
    for (const baseUrl of this.options.baseUrls) {
      try {
        return await this.sendTo(baseUrl, call);
      } catch (thrown) {
        const error = toTypedError(thrown);
        if (!shouldTryNextNode(error)) throw error;
        failures.push(error);
        messages.push(`${baseUrl}: ${error.message}`);
      }
    }
    throw new TypedError(
      'node-unreachable',
      `No node could be reached. ${messages.join('; ')}`,
      {remedy: failures.at(-1)?.remedy},
    );
  }

  private async sendTo(baseUrl: string, call: AdminRequest): Promise<unknown> {
    const {method, body} = call;
    const url = toUrl(baseUrl, call);
    const headers = {
      authorization: `Bearer ${this.options.token}`,
      ...(body === undefined ? {} : {'content-type': 'application/json'}),
    };
    try {
      const response = await request(url, {
        method,
        headers,
        body: body === undefined ? null : JSON.stringify(body),
        dispatcher: this.dispatcher,
      });
      const text = await response.body.text();
      if (response.statusCode < 300) return parseJson(text);
      throw parseErrorResponse(text, response.statusCode);
    } catch (thrown) {
      if (thrown instanceof TypedError) throw thrown;
      throw toConnectionError(thrown, method);
    }
  }
}

function toUrl(baseUrl: string, {path, query}: AdminRequest): string {
  const pairs = Object.entries(query ?? {}).flatMap(([name, value]) =>
    value === undefined ? [] : [[name, String(value)] as const],
  );
  const suffix = new URLSearchParams(Object.fromEntries(pairs)).toString();
  return `${baseUrl.replace(/\/+$/, '')}${path}${suffix && `?${suffix}`}`;
}

/**
 * Guards against applying a change twice: a node may have applied a change
 * whose response was lost, so only reads are retried at another node.
 */
function toConnectionError(thrown: unknown, method: string): TypedError {
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
  const code = (thrown as {code?: string}).code ?? '';
  const isTlsError = TLS_ERROR_CODE.test(code);
  const mayHaveArrived = !isTlsError && !CONNECT_ERROR_CODES.includes(code);
  if (method === 'GET' || !mayHaveArrived) {
    return new TypedError('node-unreachable', 'no answer', {
      cause,
      ...(isTlsError ? {remedy: CERTIFICATE_REMEDY} : {}),
    });
  }
  return new TypedError('outcome-unknown', 'The answer was lost', {
    cause,
    run: 'unknown',
    remedy: 'The change may be in force. Read it before you try again.',
  });
}

function shouldTryNextNode({kind}: TypedError): boolean {
  return kind === 'node-unreachable' || kind === 'shutting-down';
}

function parseErrorResponse(text: string, statusCode: number): TypedError {
  const parsed = errorSchema.safeParse(parseJson(text));
  if (!parsed.success) {
    return new TypedError(
      'internal',
      `The answer has status ${statusCode} and is not from a node.`,
      {remedy: "Check that --admin-url is an operators' interface."},
    );
  }
  const {kind, message, remedy, retryAfterMs, info} = parsed.data.error;
  const known = ERROR_KINDS.find(other => other === kind);
  return new TypedError(known ?? fallbackKind(statusCode), message, {
    remedy,
    retryAfterMs,
    info,
  });
}

/** Maps an error kind of a newer node, unknown to this tool, by its status. */
function fallbackKind(statusCode: number): ErrorKind {
  return statusCode < 500 ? 'bad-request' : 'internal';
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}
