/**
 * Messages between nodes over WebSocket. Connections are opened when needed,
 * used in both directions, and closed when idle or when there are too many.
 */
import {type Timer} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type WebSocket} from 'ws';
import {ConnectionVerifier, signConnection} from './authentication.js';
import {type Frame, FrameCodec, fromFailure, toFailure} from './frame_codec.js';
import {openConnection} from './open_connection.js';
import {
  type PeerCounters,
  type PeerOrigin,
  type PeerTransportOptions,
  createCounters,
} from './options.js';
import {type OutgoingFrame, PeerChannel} from './peer_channel.js';
import {type LinkContext, PeerLink} from './peer_link.js';
import {PeerServer} from './peer_server.js';
import {PendingRequests} from './pending_requests.js';

const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
const DEFAULT_MAX_QUEUED_MESSAGES = 256;
const CLOSE_GOING_AWAY = 1001;

/** The task that owns the connections between this node and its peers. */
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
    this.requests = new PendingRequests(clock, link => link.checkPeer());
    this.server = new PeerServer({
      listenHost,
      listenPort,
      nodeName: options.nodeName,
      maxMessageBytes: options.maxMessageBytes,
      verifier: new ConnectionVerifier(clusterSecret, clock),
      onConnection: (peer, socket) => this.accept(peer, socket),
      onFault: error => this.reportFault(error),
    });
    this.linkContext = {
      codec: this.codec,
      clock,
      counters: this.counters,
      onFrame: (link, frame) => this.receive(link, frame),
      onFault: error => this.reportFault(error),
      onClose: link => this.forgetLink(link),
      onDrain: link => this.channels.get(link.peer.address)?.flush(),
    };
  }

  /** How many connections are open. */
  get connectionCount(): number {
    return this.links.size;
  }

  /** Listens for peers; resolves with the port. */
  async start(): Promise<{port: number}> {
    const {listenHost, selfAddress} = this.options;
    const port = await this.server.start();
    this.selfAddress = selfAddress ?? `${listenHost}:${port}`;
    this.scheduleSweep();
    return {port};
  }

  /** Sends a hint: best effort, and nobody learns if it is lost. */
  send(address: string, message: M): void {
    if (this.stopping.signal.aborted) return;
    this.channelTo(address).send({kind: 'message', body: message});
  }

  /**
   * Sends a message and resolves with its reply. The error it rejects with
   * says by `run` whether any of the request was handed to a connection.
   */
  request(
    address: string,
    message: M,
    timeoutMs = this.options.requestTimeoutMs,
  ): Promise<M> {
    if (this.stopping.signal.aborted) return Promise.reject(makeStopped());
    return this.requests.open(address, timeoutMs, id =>
      this.channelTo(address).send({kind: 'request', id, body: message}),
    );
  }

  /** Closes all connections; requests that wait are rejected. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.sweepTimer?.cancel();
    this.channels.forEach(channel => channel.giveUpAll(makeStopped()));
    this.links.forEach(link => link.close(CLOSE_GOING_AWAY));
    await this.server.stop();
  }

  private channelTo(address: string): PeerChannel<M> {
    const known = this.channels.get(address);
    if (known) return known;
    const {clock, maxQueuedMessages} = this.options;
    const channel = new PeerChannel<M>(address, {
      clock,
      maxQueuedMessages: maxQueuedMessages ?? DEFAULT_MAX_QUEUED_MESSAGES,
      connect: () => this.connect(address),
      isWanted: frame =>
        frame.kind === 'message' || this.requests.isOpen(frame.id),
      onWritten: (frame, link) => {
        if (frame.kind === 'request') this.requests.markWritten(frame.id, link);
      },
      onGivenUp: (frame, error) => this.giveUp(frame, error),
    });
    this.channels.set(address, channel);
    return channel;
  }

  private giveUp(frame: OutgoingFrame<M>, error: TypedError): void {
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
        headers: signConnection(self, clusterSecret, clock),
        maxMessageBytes,
        signal: this.stopping.signal,
        onOpen: (socket, peerName) =>
          this.adopt({address, nodeName: peerName}, socket, 'client'),
      });
    } catch (thrown) {
      const error = toTypedError(thrown);
      this.counters.connectFailures++;
      if (error.kind === 'unauthorized') this.reportFault(error);
      throw error;
    }
  }

  private accept(peer: PeerOrigin, socket: WebSocket): void {
    const link = this.adopt(peer, socket, 'server');
    this.channelTo(peer.address).attach(link);
  }

  private adopt(
    peer: PeerOrigin,
    socket: WebSocket,
    side: 'client' | 'server',
  ): PeerLink<M> {
    const link = new PeerLink(peer, socket, side, this.linkContext);
    this.counters.connectionsOpened++;
    this.links.add(link);
    if (this.stopping.signal.aborted) link.close(CLOSE_GOING_AWAY);
    if (this.links.size > this.options.maxConnections) this.evictFor(link);
    return link;
  }

  /** Closes the least recently used connection, if possible an idle one. */
  private evictFor(newLink: PeerLink<M>): void {
    const byUse = [...this.links]
      .filter(link => link !== newLink && link.isOpen)
      .sort((first, second) => first.lastUsedMs - second.lastUsedMs);
    const idle = byUse.find(link => !this.requests.isAwaiting(link));
    (idle ?? byUse[0])?.close();
  }

  private forgetLink(link: PeerLink<M>): void {
    this.links.delete(link);
    this.requests.rejectAllOn(link);
    this.channels.get(link.peer.address)?.detach(link);
  }

  private receive(link: PeerLink<M>, frame: Frame<M>): void {
    switch (frame.kind) {
      case 'message':
        void this.handle(link, frame.body);
        return;
      case 'request':
        void this.answer(link, frame.id, frame.body);
        return;
      case 'reply':
        this.requests.resolve(frame.replyTo, link, frame.body);
        return;
      case 'failure':
        this.requests.rejectFrom(
          frame.replyTo,
          link,
          fromFailure(frame.failure),
        );
        return;
    }
  }

  private async handle(link: PeerLink<M>, message: M): Promise<void> {
    try {
      await this.options.onMessage(link.peer, message);
    } catch (thrown) {
      this.reportFault(toTypedError(thrown));
    }
  }

  private async answer(
    link: PeerLink<M>,
    id: number,
    message: M,
  ): Promise<void> {
    try {
      const body = await this.options.onMessage(link.peer, message);
      if (body === undefined) throw makeNoReply();
      this.reply(link, {kind: 'reply', replyTo: id, body});
    } catch (thrown) {
      const failure = toFailure(toTypedError(thrown));
      this.reply(link, {kind: 'failure', replyTo: id, failure});
    }
  }

  /** A connection that closed meanwhile has told the requester already. */
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
      .filter(link => !this.requests.isAwaiting(link))
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

function makeStopped(): TypedError {
  return new TypedError('shutting-down', 'This node is shutting down.', {
    run: 'not-run',
  });
}

function makeNoReply(): TypedError {
  return new TypedError('peer-message-invalid', 'The request has no reply.');
}
