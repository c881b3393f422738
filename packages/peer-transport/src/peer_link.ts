/** One open connection to a peer, whoever opened it. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type RawData, type WebSocket} from 'ws';
import {type Frame, type FrameCodec} from './frame_codec.js';
import {type PeerCounters, type PeerOrigin} from './options.js';

/** Close codes of RFC 6455. */
const CLOSE_NORMAL = 1000;
const CLOSE_INVALID_DATA = 1007;
/** How long a peer has to answer a close before the socket is cut. */
const CLOSE_GRACE_MS = 1_000;
/** How long a peer has to answer a ping. */
const PONG_TIMEOUT_MS = 3_000;

const MAX_TINY_PAYLOAD = 125;
const MAX_SMALL_PAYLOAD = 0xffff;
const MASK_BYTES = 4;

/** What links have in common and whom they tell. */
export interface LinkContext<M> {
  codec: FrameCodec<M>;
  clock: Clock;
  counters: PeerCounters;
  onFrame(link: PeerLink<M>, frame: Frame<M>): void;
  onFault(error: TypedError): void;
  onClose(link: PeerLink<M>): void;
  /** Called when bytes that waited in the socket have gone out. */
  onDrain(link: PeerLink<M>): void;
}

/** Owns the socket of one connection. */
export class PeerLink<M> {
  lastUsedMs: number;
  private pongTimer: Timer | null = null;

  constructor(
    readonly peer: PeerOrigin,
    private readonly socket: WebSocket,
    private readonly side: 'client' | 'server',
    private readonly context: LinkContext<M>,
  ) {
    this.lastUsedMs = context.clock.monotonicMs();
    socket.on('message', (data, isBinary) => this.receive(data, isBinary));
    socket.on('pong', () => this.endCheck());
    socket.on('error', error => this.reportSocketError(error));
    socket.on('close', () => {
      this.endCheck();
      context.onClose(this);
    });
  }

  get isOpen(): boolean {
    return this.socket.readyState === this.socket.OPEN;
  }

  /** Bytes handed over that have not gone out yet. */
  get bufferedBytes(): number {
    return this.socket.bufferedAmount;
  }

  /** Throws `peer-message-invalid` if the frame is too large. */
  write(frame: Frame<M>): void {
    const bytes = this.context.codec.encode(frame);
    const {counters, clock} = this.context;
    this.lastUsedMs = clock.monotonicMs();
    counters.messagesSent++;
    counters.bytesSent += frameBytes(bytes.length, this.side === 'client');
    this.socket.send(bytes, () => this.context.onDrain(this));
  }

  /** Closes in good order, and cuts the socket if the peer is silent. */
  close(code = CLOSE_NORMAL): void {
    this.socket.close(code);
    const timer = this.context.clock.setTimer(CLOSE_GRACE_MS, () =>
      this.socket.terminate(),
    );
    this.socket.once('close', () => timer.cancel());
  }

  /**
   * Guards against a connection whose other end vanished without a word: it
   * stays open here and swallows all that is sent. A live peer's library
   * answers a ping whatever its handlers do; without an answer the socket is
   * cut, and the next message opens another connection.
   */
  checkPeer(): void {
    if (this.pongTimer !== null || !this.isOpen) return;
    this.socket.ping();
    this.pongTimer = this.context.clock.setTimer(PONG_TIMEOUT_MS, () =>
      this.socket.terminate(),
    );
  }

  private endCheck(): void {
    this.pongTimer?.cancel();
    this.pongTimer = null;
  }

  private receive(data: RawData, isBinary: boolean): void {
    if (!this.isOpen) return;
    const bytes = toBytes(data);
    const {counters, clock} = this.context;
    this.lastUsedMs = clock.monotonicMs();
    this.endCheck();
    counters.messagesReceived++;
    counters.bytesReceived += frameBytes(bytes.length, this.side === 'server');
    const frame = this.decode(bytes, isBinary);
    if (frame) this.context.onFrame(this, frame);
  }

  /**
   * Guards against a peer of another release, or a fault on the way, taking
   * the process down: a frame of no known form is reported and ends only the
   * connection it came on.
   */
  private decode(bytes: Uint8Array, isBinary: boolean): Frame<M> | null {
    try {
      if (!isBinary) {
        throw new TypedError('peer-message-invalid', 'A text frame came.');
      }
      return this.context.codec.decode(bytes);
    } catch (thrown) {
      this.context.onFault(this.describe(toTypedError(thrown)));
      this.close(CLOSE_INVALID_DATA);
      return null;
    }
  }

  /** `ws` closes by itself on frames it refuses, such as too large ones. */
  private reportSocketError(error: Error): void {
    if (!('code' in error) || !String(error.code).startsWith('WS_ERR_')) return;
    this.context.onFault(
      this.describe(
        new TypedError('peer-message-invalid', error.message, {cause: error}),
      ),
    );
  }

  private describe(error: TypedError): TypedError {
    const {kind, summary, details} = error;
    const info = {address: this.peer.address, nodeName: this.peer.nodeName};
    return new TypedError(kind, summary, {...details, info});
  }
}

function toBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}

/** The size of a frame with its header; only clients mask theirs. */
function frameBytes(payloadBytes: number, isMasked: boolean): number {
  const lengthBytes =
    payloadBytes <= MAX_TINY_PAYLOAD
      ? 2
      : payloadBytes <= MAX_SMALL_PAYLOAD
        ? 4
        : 10;
  return payloadBytes + lengthBytes + (isMasked ? MASK_BYTES : 0);
}
