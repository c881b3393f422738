/** Tracks requests of this node until their replies arrive. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {PEER_UNREACHABLE} from './options.js';

/** A request without a reply; `L` is the type of its connection. */
interface PendingRequest<M, L> {
  address: string;
  /** Null until the request is written to a connection. */
  link: L | null;
  timer: Timer;
  resolve(reply: M): void;
  reject(error: TypedError): void;
}

/** Assigns request IDs, matches replies and enforces timeouts. */
export class PendingRequests<M, L> {
  private nextId = 0;
  private readonly pending = new Map<number, PendingRequest<M, L>>();

  /** @param onTimeout called with the connection of a timed-out request. */
  constructor(
    private readonly clock: Clock,
    private readonly onTimeout: (link: L) => void,
  ) {}

  /** Registers a request and calls `write` once with its ID. */
  register(
    address: string,
    timeoutMs: number,
    write: (id: number) => void,
  ): Promise<M> {
    return new Promise((resolve, reject) => {
      const id = this.nextId++;
      const timer = this.clock.setTimer(timeoutMs, () =>
        this.expire(id, timeoutMs),
      );
      this.pending.set(id, {address, link: null, timer, resolve, reject});
      write(id);
    });
  }

  isPending(id: number): boolean {
    return this.pending.has(id);
  }

  /** Whether any request on the connection has no reply yet. */
  hasPending(link: L): boolean {
    return [...this.pending.values()].some(request => request.link === link);
  }

  markWritten(id: number, link: L): void {
    const request = this.pending.get(id);
    if (request) request.link = link;
  }

  /** Resolves a request with its reply; ignores a late reply. */
  resolve(id: number, link: L, reply: M): void {
    if (this.pending.get(id)?.link === link) this.remove(id)?.resolve(reply);
  }

  /** Rejects a request with the error that the peer returned. */
  rejectWithPeerError(id: number, link: L, error: TypedError): void {
    if (this.pending.get(id)?.link === link) this.remove(id)?.reject(error);
  }

  /** Rejects a request that was not written to a connection. */
  rejectUnwritten(id: number, error: TypedError): void {
    this.remove(id)?.reject(error.withRun('not-run'));
  }

  /** Rejects all requests that were written to a closed connection. */
  rejectAllOn(link: L): void {
    [...this.pending]
      .filter(([, request]) => request.link === link)
      .forEach(([id, {address}]) =>
        this.remove(id)?.reject(
          new TypedError(
            PEER_UNREACHABLE,
            `The connection to ${address} closed before the reply came.`,
            {run: 'unknown'},
          ),
        ),
      );
  }

  private expire(id: number, timeoutMs: number): void {
    const request = this.remove(id);
    if (!request) return;
    const {address, link} = request;
    request.reject(
      new TypedError(
        PEER_UNREACHABLE,
        `No reply from ${address} within ${timeoutMs} ms.`,
        {run: link === null ? 'not-run' : 'unknown'},
      ),
    );
    if (link !== null) this.onTimeout(link);
  }

  private remove(id: number): PendingRequest<M, L> | undefined {
    const request = this.pending.get(id);
    this.pending.delete(id);
    request?.timer.cancel();
    return request;
  }
}
