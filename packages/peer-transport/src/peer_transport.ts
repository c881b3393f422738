/**
 * Messages between nodes over WebSocket. Connections are opened when needed,
 * used in both directions, and closed when idle or when there are too many.
 */
import {type Socket} from 'node:net';
import {type Timer} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type WebSocket} from 'ws';
import {ConnectionVerifier, createAuthHeaders} from './authentication.js';
import {
  type Frame,
  FrameCodec,
  decodeError,
  encodeError,
} from './frame_codec.js';
import {openConnection} from './open_connection.js';
import {
  type PeerCounters,
  type PeerIdentity,
  type PeerTransportOptions,
  createCounters,
} from './options.js';
import {type OutgoingFrame, PeerChannel} from './peer_channel.js';
import {type LinkContext, PeerLink} from './peer_link.js';
import {PeerServer} from './peer_server.js';
import {
  RELAY_REFUSALS,
  type RelayedConnection,
  formatAcceptance,
  openRelay,
} from './relay_handshake.js';
import {PendingRequests} from './pending_requests.js';

const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
const DEFAULT_MAX_QUEUED_MESSAGES = 256;
const CLOSE_GOING_AWAY = 1001;

/** Owns the connections between this node and its peers. */
export class PeerTransport<M> {
  readonly counters: PeerCounters = createCounters();
  private readonly server: PeerServer;
  private readonly codec: FrameCodec<M>;
  private readonly linkContext: LinkContext<M>;
  private readonly channels = new Map<string, PeerChannel<M>>();
  private readonly links = new Set<PeerLink<M>>();
  private readonly requests: PendingRequests<M, PeerLink<M>>;
  private readonly stopping = new AbortController();
  private sweepTimer: Timer | null = null;
  private selfAddress: string;

  constructor(private readonly options: PeerTransportOptions<M>) {
    const {listenHost, listenPort, clusterSecret, clock} = options;
    this.selfAddress = options.selfAddress ?? `${listenHost}:${listenPort}`;
    this.codec = new FrameCodec(options.schema, options.maxMessageBytes);
    this.requests = new PendingRequests(clock, link => link.pingPeer());
    this.server = new PeerServer({
      listenHost,
      listenPort,
      nodeName: options.nodeName,
      maxMessageBytes: options.maxMessageBytes,
      verifier: new ConnectionVerifier(clusterSecret, clock),
      onConnection: (peer, socket) => this.accept(peer, socket),
      onRelay: (...terms) => void this.relay(...terms),
      onFault: error => this.reportFault(error),
    });
    this.linkContext = {
      codec: this.codec,
      clock,
      counters: this.counters,
      onFrame: (link, frame) => this.handleFrame(link, frame),
      onFault: error => this.reportFault(error),
      onClose: link => this.removeLink(link),
      onDrain: link => this.channels.get(link.peer.address)?.flush(),
    };
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.links.size;
  }

  /** Starts listening for peers; resolves with the port. */
  async start(): Promise<{port: number}> {
    const {listenHost, selfAddress} = this.options;
    const port = await this.server.start();
    this.selfAddress = selfAddress ?? `${listenHost}:${port}`;
    this.scheduleSweep();
    return {port};
  }

  /** Sends a one-way message, best effort; a lost message is not reported. */
  send(address: string, message: M): void {
    if (this.stopping.signal.aborted) return;
    this.channelTo(address).send({kind: 'message', body: message});
  }

  /**
   * Sends a request and resolves with its reply. On rejection, `run` of the
   * error tells whether the request was written to a connection.
   */
  request(
    address: string,
    message: M,
    timeoutMs = this.options.requestTimeoutMs,
  ): Promise<M> {
    if (this.stopping.signal.aborted) return Promise.reject(shutdownError());
    return this.requests.register(address, timeoutMs, id =>
      this.channelTo(address).send({kind: 'request', id, body: message}),
    );
  }

  /** Opens a connection to a server through a peer; see `openRelay`. */
  openRelay(
    address: string,
    target: string,
    timeoutMs: number,
    createSocket: () => Socket,
  ): Promise<RelayedConnection> {
    if (this.stopping.signal.aborted) return Promise.reject(shutdownError());
    const {nodeName, clusterSecret, clock} = this.options;
    const self = {address: this.selfAddress, nodeName};
    const headers = createAuthHeaders(self, clusterSecret, clock);
    return openRelay({
      ...{address, target, headers, timeoutMs, clock, createSocket},
    });
  }

  /** Closes all connections and rejects pending requests. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.sweepTimer?.cancel();
    this.channels.forEach(channel => channel.dropAll(shutdownError()));
    this.links.forEach(link => link.close(CLOSE_GOING_AWAY));
    await this.server.stop();
  }

  private async relay(
    target: string,
    socket: Socket,
    isFramed: boolean,
  ): Promise<void> {
    const decision = (await this.options.onRelay?.(target)) ?? {
      ...{status: 'refused' as const},
    };
    if (decision.status !== 'open') {
      socket.end(RELAY_REFUSALS[decision.status]);
      return;
    }
    socket.write(formatAcceptance(isFramed));
    decision.join(socket, isFramed);
  }

  private channelTo(address: string): PeerChannel<M> {
    const known = this.channels.get(address);
    if (known) return known;
    const {clock, maxQueuedMessages} = this.options;
    const channel = new PeerChannel<M>(address, {
      clock,
      maxQueuedMessages: maxQueuedMessages ?? DEFAULT_MAX_QUEUED_MESSAGES,
      connect: () => this.connect(address),
      isNeeded: frame =>
        frame.kind === 'message' || this.requests.isPending(frame.id),
      onWritten: (frame, link) => {
        if (frame.kind === 'request') this.requests.markWritten(frame.id, link);
      },
      onDropped: (frame, error) => this.handleDropped(frame, error),
    });
    this.channels.set(address, channel);
    return channel;
  }

  private handleDropped(frame: OutgoingFrame<M>, error: TypedError): void {
    if (frame.kind === 'request') {
      this.requests.rejectUnwritten(frame.id, error);
      return;
    }
    this.counters.messagesDropped++;
    if (error.kind === 'peer-message-invalid') this.reportFault(error);
  }

  private async connect(address: string): Promise<PeerLink<M>> {
    const {nodeName, clusterSecret, clock, maxMessageBytes} = this.options;
    const self = {address: this.selfAddress, nodeName};
    try {
      return await openConnection({
        address,
        headers: createAuthHeaders(self, clusterSecret, clock),
        maxMessageBytes,
        signal: this.stopping.signal,
        onOpen: (socket, peerName) =>
          this.registerLink({address, nodeName: peerName}, socket, 'client'),
      });
    } catch (thrown) {
      const error = toTypedError(thrown);
      this.counters.connectFailures++;
      if (error.kind === 'unauthorized') this.reportFault(error);
      throw error;
    }
  }

  private accept(peer: PeerIdentity, socket: WebSocket): void {
    const link = this.registerLink(peer, socket, 'server');
    this.channelTo(peer.address).attach(link);
  }

  private registerLink(
    peer: PeerIdentity,
    socket: WebSocket,
    side: 'client' | 'server',
  ): PeerLink<M> {
    const link = new PeerLink(peer, socket, side, this.linkContext);
    this.counters.connectionsOpened++;
    this.links.add(link);
    if (this.stopping.signal.aborted) link.close(CLOSE_GOING_AWAY);
    if (this.links.size > this.options.maxConnections) this.evictOldest(link);
    return link;
  }

  /** Closes the least recently used connection, idle connections first. */
  private evictOldest(newLink: PeerLink<M>): void {
    const leastRecentlyUsed = [...this.links]
      .filter(link => link !== newLink && link.isOpen)
      .sort((first, second) => first.lastUsedMs - second.lastUsedMs);
    const idle = leastRecentlyUsed.find(
      link => !this.requests.hasPending(link),
    );
    (idle ?? leastRecentlyUsed[0])?.close();
  }

  private removeLink(link: PeerLink<M>): void {
    this.links.delete(link);
    this.requests.rejectAllOn(link);
    this.channels.get(link.peer.address)?.detach(link);
  }

  private handleFrame(link: PeerLink<M>, frame: Frame<M>): void {
    switch (frame.kind) {
      case 'message':
        void this.handleMessage(link, frame.body);
        return;
      case 'request':
        void this.handleRequest(link, frame.id, frame.body);
        return;
      case 'reply':
        this.requests.resolve(frame.replyTo, link, frame.body);
        return;
      case 'failure':
        this.requests.rejectWithPeerError(
          frame.replyTo,
          link,
          decodeError(frame.failure),
        );
        return;
    }
  }

  private async handleMessage(link: PeerLink<M>, message: M): Promise<void> {
    try {
      await this.options.onMessage(link.peer, message);
    } catch (thrown) {
      this.reportFault(toTypedError(thrown));
    }
  }

  private async handleRequest(
    link: PeerLink<M>,
    id: number,
    message: M,
  ): Promise<void> {
    try {
      const body = await this.options.onMessage(link.peer, message);
      if (body === undefined) throw noReplyError();
      this.reply(link, {kind: 'reply', replyTo: id, body});
    } catch (thrown) {
      const failure = encodeError(toTypedError(thrown));
      this.reply(link, {kind: 'failure', replyTo: id, failure});
    }
  }

  /** Skips a closed connection, as the requester has already seen the close. */
  private reply(link: PeerLink<M>, frame: Frame<M>): void {
    if (link.isOpen) link.write(frame);
  }

  private scheduleSweep(): void {
    const idleTimeoutMs = this.options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
    this.sweepTimer = this.options.clock.setTimer(idleTimeoutMs / 2, () => {
      this.sweep(idleTimeoutMs);
      this.scheduleSweep();
    });
  }

  private sweep(idleTimeoutMs: number): void {
    const oldestMs = this.options.clock.monotonicMs() - idleTimeoutMs;
    [...this.links]
      .filter(link => link.lastUsedMs <= oldestMs)
      .filter(link => !this.requests.hasPending(link))
      .forEach(link => link.close());
    [...this.channels]
      .filter(([, channel]) => channel.isUnused)
      .forEach(([address]) => this.channels.delete(address));
  }

  private reportFault(error: TypedError): void {
    this.counters.faults++;
    this.options.onFault(error);
  }
}

function shutdownError(): TypedError {
  return new TypedError('shutting-down', 'This node is shutting down.', {
    run: 'not-run',
  });
}

function noReplyError(): TypedError {
  return new TypedError('peer-message-invalid', 'The request has no reply.');
}
