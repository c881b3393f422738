/** Send queue and connection for one peer. */
import {type Clock} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type Frame} from './frame_codec.js';
import {PEER_UNREACHABLE} from './options.js';
import {type PeerLink} from './peer_link.js';

/** Frames stay in the queue while the socket buffers more than this. */
const MAX_BUFFERED_BYTES = 256 * 1024;
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;

/** Frames that a channel sends; a reply goes to the link of its request. */
export type OutgoingFrame<M> = Extract<
  Frame<M>,
  {kind: 'message'} | {kind: 'request'}
>;

/** Dependencies and callbacks of a channel. */
export interface ChannelContext<M> {
  clock: Clock;
  maxQueuedMessages: number;
  connect(address: string): Promise<PeerLink<M>>;
  /** Whether a queued frame still has to be sent. */
  isNeeded(frame: OutgoingFrame<M>): boolean;
  onWritten(frame: OutgoingFrame<M>, link: PeerLink<M>): void;
  onDropped(frame: OutgoingFrame<M>, error: TypedError): void;
}

/** Connects on demand and queues a bounded number of frames meanwhile. */
export class PeerChannel<M> {
  private queue: Array<OutgoingFrame<M>> = [];
  private link: PeerLink<M> | null = null;
  private isConnecting = false;
  private failureCount = 0;
  private backoffUntilMs = 0;
  /** Why the last attempt to connect failed; null once there is a connection. */
  private lastFailure: TypedError | null = null;

  constructor(
    private readonly address: string,
    private readonly context: ChannelContext<M>,
  ) {}

  /** Whether the channel has no connection and no backoff state to keep. */
  get isUnused(): boolean {
    const nowMs = this.context.clock.monotonicMs();
    return (
      this.link === null &&
      !this.isConnecting &&
      nowMs > this.backoffUntilMs + MAX_BACKOFF_MS
    );
  }

  send(frame: OutgoingFrame<M>): void {
    if (!this.hasConnection && this.isBackingOff()) {
      this.context.onDropped(frame, this.createBackoffError());
      return;
    }
    this.queue.push(frame);
    this.enforceQueueLimit();
    this.flush();
    if (!this.hasConnection) void this.connect();
  }

  /** Switches to the newest connection, as older ones may be half-open. */
  attach(link: PeerLink<M>): void {
    this.link = link;
    this.failureCount = 0;
    this.backoffUntilMs = 0;
    this.lastFailure = null;
    this.flush();
  }

  /** Removes a closed connection. */
  detach(link: PeerLink<M>): void {
    if (this.link !== link) return;
    this.link = null;
    if (this.queue.length > 0 && !this.hasConnection) void this.connect();
  }

  flush(): void {
    while (this.link?.isOpen && this.queue.length > 0) {
      if (this.link.bufferedBytes > MAX_BUFFERED_BYTES) return;
      const frame = this.queue.shift()!;
      if (this.context.isNeeded(frame)) this.write(frame, this.link);
    }
  }

  /** Drops all queued frames. */
  dropAll(error: TypedError): void {
    const dropped = this.queue;
    this.queue = [];
    dropped.forEach(frame => this.context.onDropped(frame, error));
  }

  /** Whether a connection is open or in progress. */
  private get hasConnection(): boolean {
    return this.isConnecting || this.link?.isOpen === true;
  }

  private write(frame: OutgoingFrame<M>, link: PeerLink<M>): void {
    try {
      link.write(frame);
      this.context.onWritten(frame, link);
    } catch (thrown) {
      this.context.onDropped(frame, toTypedError(thrown));
    }
  }

  private async connect(): Promise<void> {
    this.isConnecting = true;
    try {
      const link = await this.context.connect(this.address);
      this.isConnecting = false;
      if (link.isOpen) this.attach(link);
      else throw this.createClosedError();
    } catch (thrown) {
      this.isConnecting = false;
      const error = toTypedError(thrown);
      this.startBackoff(error);
      if (!this.hasConnection) this.dropAll(error);
    }
  }

  private startBackoff(failure: TypedError): void {
    this.lastFailure = failure;
    const delayMs = FIRST_BACKOFF_MS * 2 ** this.failureCount;
    this.failureCount++;
    this.backoffUntilMs =
      this.context.clock.monotonicMs() + Math.min(delayMs, MAX_BACKOFF_MS);
  }

  private isBackingOff(): boolean {
    return this.context.clock.monotonicMs() < this.backoffUntilMs;
  }

  /**
   * Guards against unbounded memory use for a slow peer. Over the limit, the
   * oldest one-way message is dropped, as newer messages supersede it; if the
   * queue holds only requests, the newest one is refused.
   */
  private enforceQueueLimit(): void {
    if (this.queue.length <= this.context.maxQueuedMessages) return;
    const index = this.queue.findIndex(frame => frame.kind === 'message');
    const [frame] = this.queue.splice(index, 1);
    this.context.onDropped(
      frame!,
      new TypedError(
        'overloaded',
        `Too many messages wait for the peer ${this.address}.`,
      ),
    );
  }

  /**
   * Names the failed attempt as its cause. Guards against taking a peer that refuses
   * connections for one that is slow, since messages of others tried to connect before.
   */
  private createBackoffError(): TypedError {
    return new TypedError(
      PEER_UNREACHABLE,
      `The peer ${this.address} could not be reached a moment ago.`,
      this.lastFailure ? {cause: this.lastFailure} : {},
    );
  }

  private createClosedError(): TypedError {
    return new TypedError(
      PEER_UNREACHABLE,
      `The connection to ${this.address} closed as soon as it was open.`,
    );
  }
}
