/** Requests of this node that wait for their reply. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {PEER_UNREACHABLE} from './options.js';

/** One request that waits. `L` is the connection it was written to. */
interface PendingRequest<M, L> {
  address: string;
  /** Null while nothing of the request has been handed to a connection. */
  link: L | null;
  timer: Timer;
  resolve(reply: M): void;
  reject(error: TypedError): void;
}

/** Numbers requests, finds their replies and ends those that wait too long. */
export class PendingRequests<M, L> {
  private nextId = 0;
  private readonly pending = new Map<number, PendingRequest<M, L>>();

  /** @param onTimeout told which connection did not answer in time. */
  constructor(
    private readonly clock: Clock,
    private readonly onTimeout: (link: L) => void,
  ) {}

  /** Opens a request; `write` is called once with its id. */
  open(
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

  isOpen(id: number): boolean {
    return this.pending.has(id);
  }

  /** Whether any request waits for a reply on the connection. */
  isAwaiting(link: L): boolean {
    return [...this.pending.values()].some(request => request.link === link);
  }

  markWritten(id: number, link: L): void {
    const request = this.pending.get(id);
    if (request) request.link = link;
  }

  /** Settles with a reply; one that comes too late is passed over. */
  resolve(id: number, link: L, reply: M): void {
    if (this.pending.get(id)?.link === link) this.take(id)?.resolve(reply);
  }

  /** Settles with the failure that the other node told. */
  rejectFrom(id: number, link: L, error: TypedError): void {
    if (this.pending.get(id)?.link === link) this.take(id)?.reject(error);
  }

  /** Settles a request that was not written to any connection. */
  rejectUnwritten(id: number, error: TypedError): void {
    this.take(id)?.reject(error.withRun('not-run'));
  }

  /** Settles all requests that were written to a connection now closed. */
  rejectAllOn(link: L): void {
    [...this.pending]
      .filter(([, request]) => request.link === link)
      .forEach(([id, {address}]) =>
        this.take(id)?.reject(
          new TypedError(
            PEER_UNREACHABLE,
            `The connection to ${address} closed before the reply came.`,
            {run: 'unknown'},
          ),
        ),
      );
  }

  private expire(id: number, timeoutMs: number): void {
    const request = this.take(id);
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

  private take(id: number): PendingRequest<M, L> | undefined {
    const request = this.pending.get(id);
    this.pending.delete(id);
    request?.timer.cancel();
    return request;
  }
}
