/**
 * Kept connections to the backend servers, for requests that may be sent
 * again. What must not be sent twice goes by `sendOnce`.
 */
import {TypedError} from '@mimosatack/errors';
import {type Dispatcher, Pool} from 'undici';

/** A request that may be sent again. */
export interface PooledRequest {
  baseUrl: string;
  path: string;
  headers: Readonly<Record<string, string>>;
  body: Buffer | string;
  signal: AbortSignal;
}

/** Limits of the pools. */
export interface PoolLimits {
  /** Connections to one backend server. */
  maxConnections: number;
  connectTimeoutMs: number;
  /** The longest silence in the middle of an answer. */
  bodyTimeoutMs: number;
}

const DEFAULT_LIMITS: PoolLimits = {
  maxConnections: 256,
  connectTimeoutMs: 1_000,
  bodyTimeoutMs: 30_000,
};
/** Errors that come before a connection is there. */
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const CANCEL_TIMEOUT_MS = 2_000;

/** One pool of connections for each backend server. */
export class BackendPools {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly limits: PoolLimits = DEFAULT_LIMITS) {}

  /**
   * Posts a request and resolves with the head of the answer. Rejects with
   * `backend-unreachable`; `run` is `not-run` only when no connection was made.
   */
  async send(spec: PooledRequest): Promise<Dispatcher.ResponseData> {
    try {
      return await this.openPool(spec.baseUrl).request({
        path: spec.path,
        method: 'POST',
        headers: spec.headers,
        body: spec.body,
        signal: spec.signal,
      });
    } catch (thrown) {
      throw toUnreachable(thrown);
    }
  }

  /** Asks an engine to stop working on a request; failures don't matter. */
  async cancel(baseUrl: string, engineRequestId: string): Promise<void> {
    try {
      const answer = await this.openPool(baseUrl).request({
        path: `/v1/requests/${encodeURIComponent(engineRequestId)}/cancel`,
        method: 'POST',
        headersTimeout: CANCEL_TIMEOUT_MS,
      });
      await answer.body.dump();
    } catch {
      // An engine that can't be reached ends its work by itself.
    }
  }

  /** Closes the connections to a backend server that is gone. */
  async forget(baseUrl: string): Promise<void> {
    const pool = this.pools.get(baseUrl);
    this.pools.delete(baseUrl);
    await pool?.close();
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private openPool(baseUrl: string): Pool {
    const known = this.pools.get(baseUrl);
    if (known) return known;
    const {maxConnections, connectTimeoutMs, bodyTimeoutMs} = this.limits;
    const pool = new Pool(baseUrl, {
      connections: maxConnections,
      pipelining: 1,
      connect: {timeout: connectTimeoutMs},
      // Each request brings a signal that ends at its deadline.
      headersTimeout: 0,
      bodyTimeout: bodyTimeoutMs,
    });
    this.pools.set(baseUrl, pool);
    return pool;
  }
}

function toUnreachable(thrown: unknown): TypedError {
  const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
  const code = (thrown as {code?: unknown}).code;
  const isConnectError = typeof code === 'string' && CONNECT_ERRORS.has(code);
  return new TypedError(
    'backend-unreachable',
    'The backend server did not answer.',
    {run: isConnectError ? 'not-run' : 'unknown', cause},
  );
}
