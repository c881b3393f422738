/** A WebSocket connection to a peer, opened by either side. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type RawData, type WebSocket} from 'ws';
import {type Frame, type FrameCodec} from './frame_codec.js';
import {type PeerCounters, type PeerIdentity} from './options.js';

/** Close codes of RFC 6455. */
const CLOSE_NORMAL = 1000;
const CLOSE_INVALID_DATA = 1007;
/** Time for the peer to answer a close frame before the socket is destroyed. */
const CLOSE_TIMEOUT_MS = 1_000;
/** Time for the peer to answer a ping. */
const PONG_TIMEOUT_MS = 3_000;

const MAX_7_BIT_PAYLOAD = 125;
const MAX_16_BIT_PAYLOAD = 0xffff;
const MASK_BYTES = 4;

/** Dependencies and callbacks shared by all links. */
export interface LinkContext<M> {
  codec: FrameCodec<M>;
  clock: Clock;
  counters: PeerCounters;
  onFrame(link: PeerLink<M>, frame: Frame<M>): void;
  onFault(error: TypedError): void;
  onClose(link: PeerLink<M>): void;
  /** Called when the socket has written a frame. */
  onDrain(link: PeerLink<M>): void;
}

/** Owns the WebSocket of one connection. */
export class PeerLink<M> {
  lastUsedMs: number;
  private pongTimer: Timer | null = null;

  constructor(
    readonly peer: PeerIdentity,
    private readonly socket: WebSocket,
    private readonly side: 'client' | 'server',
    private readonly context: LinkContext<M>,
  ) {
    this.lastUsedMs = context.clock.monotonicMs();
    socket.on('message', (data, isBinary) => this.receive(data, isBinary));
    socket.on('pong', () => this.cancelPongTimer());
    socket.on('error', error => this.reportSocketError(error));
    socket.on('close', () => {
      this.cancelPongTimer();
      context.onClose(this);
    });
  }

  get isOpen(): boolean {
    return this.socket.readyState === this.socket.OPEN;
  }

  /** Bytes in the send buffer of the socket. */
  get bufferedBytes(): number {
    return this.socket.bufferedAmount;
  }

  /** Throws `peer-message-invalid` if the frame is too large. */
  write(frame: Frame<M>): void {
    const bytes = this.context.codec.encode(frame);
    const {counters, clock} = this.context;
    this.lastUsedMs = clock.monotonicMs();
    counters.messagesSent++;
    counters.bytesSent += frameSize(bytes.length, this.side === 'client');
    this.socket.send(bytes, () => this.context.onDrain(this));
  }

  /** Starts the close handshake; destroys the socket if the peer is silent. */
  close(code = CLOSE_NORMAL): void {
    this.socket.close(code);
    const timer = this.context.clock.setTimer(CLOSE_TIMEOUT_MS, () =>
      this.socket.terminate(),
    );
    this.socket.once('close', () => timer.cancel());
  }

  /**
   * Guards against a half-open connection, whose messages are lost. The peer's
   * WebSocket library answers a ping even while handlers are busy; without a
   * pong the socket is destroyed, and the next message opens a new connection.
   */
  pingPeer(): void {
    if (this.pongTimer !== null || !this.isOpen) return;
    this.socket.ping();
    this.pongTimer = this.context.clock.setTimer(PONG_TIMEOUT_MS, () =>
      this.socket.terminate(),
    );
  }

  private cancelPongTimer(): void {
    this.pongTimer?.cancel();
    this.pongTimer = null;
  }

  private receive(data: RawData, isBinary: boolean): void {
    if (!this.isOpen) return;
    const bytes = toBytes(data);
    const {counters, clock} = this.context;
    this.lastUsedMs = clock.monotonicMs();
    this.cancelPongTimer();
    counters.messagesReceived++;
    counters.bytesReceived += frameSize(bytes.length, this.side === 'server');
    const frame = this.decode(bytes, isBinary);
    if (frame) this.context.onFrame(this, frame);
  }

  /**
   * Guards against a process crash on an invalid frame, for example from another
   * release: the frame is reported and closes only its own connection.
   */
  private decode(bytes: Uint8Array, isBinary: boolean): Frame<M> | null {
    try {
      if (!isBinary) {
        throw new TypedError('peer-message-invalid', 'A text frame came.');
      }
      return this.context.codec.decode(bytes);
    } catch (thrown) {
      this.context.onFault(this.withPeerInfo(toTypedError(thrown)));
      this.close(CLOSE_INVALID_DATA);
      return null;
    }
  }

  /** `ws` itself closes the connection on a frame that it refuses. */
  private reportSocketError(error: Error): void {
    if (!('code' in error) || !String(error.code).startsWith('WS_ERR_')) return;
    this.context.onFault(
      this.withPeerInfo(
        new TypedError('peer-message-invalid', error.message, {cause: error}),
      ),
    );
  }

  private withPeerInfo(error: TypedError): TypedError {
    const {kind, summary, details} = error;
    const info = {address: this.peer.address, nodeName: this.peer.nodeName};
    return new TypedError(kind, summary, {...details, info});
  }
}

function toBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}

/** Returns the frame size with its header; only clients mask their frames. */
function frameSize(payloadBytes: number, isMasked: boolean): number {
  const lengthBytes =
    payloadBytes <= MAX_7_BIT_PAYLOAD
      ? 2
      : payloadBytes <= MAX_16_BIT_PAYLOAD
        ? 4
        : 10;
  return payloadBytes + lengthBytes + (isMasked ? MASK_BYTES : 0);
}
