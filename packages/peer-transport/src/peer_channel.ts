/** Everything this node sends to one peer: its queue and its connection. */
import {type Clock} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type Frame} from './frame_codec.js';
import {PEER_UNREACHABLE} from './options.js';
import {type PeerLink} from './peer_link.js';

/** Frames wait here, not in the socket, while this much is on its way. */
const MAX_BUFFERED_BYTES = 256 * 1024;
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;

/** What a node sends by itself; replies go out on the link they belong to. */
export type OutgoingFrame<M> = Extract<
  Frame<M>,
  {kind: 'message'} | {kind: 'request'}
>;

/** What a channel needs of the transport. */
export interface ChannelContext<M> {
  clock: Clock;
  maxQueuedMessages: number;
  /** Opens a connection to the address. */
  connect(address: string): Promise<PeerLink<M>>;
  /** Whether a queued frame is still worth sending. */
  isWanted(frame: OutgoingFrame<M>): boolean;
  onWritten(frame: OutgoingFrame<M>, link: PeerLink<M>): void;
  onGivenUp(frame: OutgoingFrame<M>, error: TypedError): void;
}

/** Connects on demand; keeps a bounded queue while it does. */
export class PeerChannel<M> {
  private queue: Array<OutgoingFrame<M>> = [];
  private link: PeerLink<M> | null = null;
  private isConnecting = false;
  private failureCount = 0;
  private backoffUntilMs = 0;

  constructor(
    private readonly address: string,
    private readonly context: ChannelContext<M>,
  ) {}

  /** Whether nothing of the peer has to be remembered. */
  get isUnused(): boolean {
    const nowMs = this.context.clock.monotonicMs();
    return (
      this.link === null &&
      !this.isConnecting &&
      nowMs > this.backoffUntilMs + MAX_BACKOFF_MS
    );
  }

  send(frame: OutgoingFrame<M>): void {
    if (!this.canProceed && this.isBackingOff()) {
      this.context.onGivenUp(frame, this.makeUnreachable());
      return;
    }
    this.queue.push(frame);
    this.shedLoad();
    this.flush();
    if (!this.canProceed) void this.connect();
  }

  /** Sends on the newest connection, as older ones may be dead unnoticed. */
  attach(link: PeerLink<M>): void {
    this.link = link;
    this.failureCount = 0;
    this.backoffUntilMs = 0;
    this.flush();
  }

  /** Forgets a connection that has closed. */
  detach(link: PeerLink<M>): void {
    if (this.link !== link) return;
    this.link = null;
    if (this.queue.length > 0 && !this.canProceed) void this.connect();
  }

  flush(): void {
    while (this.link?.isOpen && this.queue.length > 0) {
      if (this.link.bufferedBytes > MAX_BUFFERED_BYTES) return;
      const frame = this.queue.shift()!;
      if (this.context.isWanted(frame)) this.write(frame, this.link);
    }
  }

  /** Gives up everything that waits. */
  giveUpAll(error: TypedError): void {
    const waiting = this.queue;
    this.queue = [];
    waiting.forEach(frame => this.context.onGivenUp(frame, error));
  }

  /** Whether what is queued goes out without another connection. */
  private get canProceed(): boolean {
    return this.isConnecting || this.link?.isOpen === true;
  }

  private write(frame: OutgoingFrame<M>, link: PeerLink<M>): void {
    try {
      link.write(frame);
      this.context.onWritten(frame, link);
    } catch (thrown) {
      this.context.onGivenUp(frame, toTypedError(thrown));
    }
  }

  private async connect(): Promise<void> {
    this.isConnecting = true;
    try {
      const link = await this.context.connect(this.address);
      this.isConnecting = false;
      if (link.isOpen) this.attach(link);
      else throw this.makeUnreachable();
    } catch (thrown) {
      this.isConnecting = false;
      this.startBackoff();
      if (!this.canProceed) this.giveUpAll(toTypedError(thrown));
    }
  }

  private startBackoff(): void {
    const delayMs = FIRST_BACKOFF_MS * 2 ** this.failureCount;
    this.failureCount++;
    this.backoffUntilMs =
      this.context.clock.monotonicMs() + Math.min(delayMs, MAX_BACKOFF_MS);
  }

  private isBackingOff(): boolean {
    return this.context.clock.monotonicMs() < this.backoffUntilMs;
  }

  /**
   * Guards against a slow peer filling this node's memory: over the bound the
   * oldest message without a reply goes first, as a newer one replaces what
   * it said; if all are requests, the newest is refused.
   */
  private shedLoad(): void {
    if (this.queue.length <= this.context.maxQueuedMessages) return;
    const index = this.queue.findIndex(frame => frame.kind === 'message');
    const [frame] = this.queue.splice(index, 1);
    this.context.onGivenUp(
      frame!,
      new TypedError(
        'overloaded',
        `Too many messages wait for the peer ${this.address}.`,
      ),
    );
  }

  private makeUnreachable(): TypedError {
    return new TypedError(
      PEER_UNREACHABLE,
      `The peer ${this.address} could not be reached a moment ago.`,
    );
  }
}
