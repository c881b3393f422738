/**
 * Connection pools to the backend servers, for requests that may be retried.
 * Requests that must not run twice use `sendOnce`.
 */
import {TypedError} from '@mimosatack/errors';
import {type Dispatcher, Pool} from 'undici';
import {RefusalClosingClient} from './refusal_closing_client.js';

/** A request that may be retried. */
export interface PooledRequest {
  baseUrl: string;
  path: string;
  headers: Readonly<Record<string, string>>;
  body: Buffer | string;
  signal: AbortSignal;
}

export interface PoolLimits {
  /** Limit for each backend server. */
  maxConnections: number;
  connectTimeoutMs: number;
  /** Longest time between two chunks of a response body. */
  bodyTimeoutMs: number;
}

const DEFAULT_LIMITS: PoolLimits = {
  maxConnections: 256,
  connectTimeoutMs: 1_000,
  bodyTimeoutMs: 30_000,
};
/** Error codes of failures before a connection is established. */
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const CANCEL_TIMEOUT_MS = 2_000;

/** Keeps one connection pool for each backend server. */
export class BackendPools {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly limits: PoolLimits = DEFAULT_LIMITS) {}

  /**
   * Posts a request and resolves with the response head. Rejects with
   * `backend-unreachable`; `run` is `not-run` only if no connection was made.
   */
  async send(spec: PooledRequest): Promise<Dispatcher.ResponseData> {
    try {
      return await this.getPool(spec.baseUrl).request({
        path: spec.path,
        method: 'POST',
        headers: spec.headers,
        body: spec.body,
        signal: spec.signal,
      });
    } catch (thrown) {
      throw toUnreachableError(thrown);
    }
  }

  /** Asks an engine to cancel a request; ignores failures. */
  async cancel(baseUrl: string, engineRequestId: string): Promise<void> {
    try {
      const answer = await this.getPool(baseUrl).request({
        path: `/v1/requests/${encodeURIComponent(engineRequestId)}/cancel`,
        method: 'POST',
        headersTimeout: CANCEL_TIMEOUT_MS,
      });
      await answer.body.dump();
    } catch {
      // An unreachable engine stops the request on its own.
    }
  }

  /** Closes the connections to a removed backend server. */
  async remove(baseUrl: string): Promise<void> {
    const pool = this.pools.get(baseUrl);
    this.pools.delete(baseUrl);
    await pool?.close();
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private getPool(baseUrl: string): Pool {
    const known = this.pools.get(baseUrl);
    if (known) return known;
    const {maxConnections, connectTimeoutMs, bodyTimeoutMs} = this.limits;
    const pool = new Pool(baseUrl, {
      connections: maxConnections,
      pipelining: 1,
      factory: (origin, options: object) =>
        new RefusalClosingClient(origin, options),
      connect: {timeout: connectTimeoutMs},
      // The request's signal enforces its deadline.
      headersTimeout: 0,
      bodyTimeout: bodyTimeoutMs,
    });
    this.pools.set(baseUrl, pool);
    return pool;
  }
}

function toUnreachableError(thrown: unknown): TypedError {
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
  const code = (thrown as {code?: unknown}).code;
  const isConnectError = typeof code === 'string' && CONNECT_ERRORS.has(code);
  return new TypedError(
    'backend-unreachable',
    'The backend server did not answer.',
    {run: isConnectError ? 'not-run' : 'unknown', cause},
  );
}
