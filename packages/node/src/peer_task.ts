/**
 * Communicates with the other nodes: membership, reports on backend servers,
 * and log records for nodes that cannot read the log.
 */
import {AgreedState} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type ReportVersion} from '@mimosatack/engine-board';
import {type TypedError} from '@mimosatack/errors';
import {
  type AppendSource,
  type LogFollower,
  type StateSource,
} from '@mimosatack/follow-log';
import {
  type Member,
  type MemberInfo,
  Membership,
  type OutgoingMessage,
} from '@mimosatack/membership';
import {PeerTransport} from '@mimosatack/peer-transport';
import {type LogRecord} from '@mimosatack/platform';
import {type RandomSource, pickOne} from '@mimosatack/random';
import {type ReportMessage} from '@mimosatack/share-reports';
import {type PeriodicTimer, startPeriodic} from '@mimosatack/tasks';
import {
  type BackendServerId,
  type EngineState,
  type LogOffset,
} from '@mimosatack/types';
import {type PeerMessage, peerMessageSchema} from './peer_messages.js';
import {type TicketMessage} from './ticket_messages.js';
import {PeerProgress, type Progress} from './peer_progress.js';

/** The whole state of an engine, as its steward has read it. */
export interface PulledEngine {
  engine: EngineState;
  version: ReportVersion;
}

export interface PeerTaskOptions {
  clock: Clock;
  random: RandomSource;
  follower: LogFollower;
  nodeName: string;
  listenHost: string;
  listenPort: number;
  /** The host at which peers reach this node. */
  advertiseHost: string;
  clusterSecret: string;
  seeds: readonly string[];
  onDemand(model: string): void;
  /** Answers a message about the tickets of a process that is stopping. */
  onTicketMessage(message: TicketMessage): TicketMessage | void;
  onReport(fromAddress: string, message: ReportMessage): void;
  /** The whole state of an engine that this node holds. */
  findOwnEngine(id: BackendServerId): PulledEngine | null;
  onResumed(engineRequestId: string): void;
  /** Called when another node reports backend servers that are leaving. */
  onServersLeaving(backendServerIds: readonly string[]): void;
  onFault(error: TypedError): void;
}

const TICK_MS = 100;
const MAX_CONNECTIONS = 64;
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 3_000;
/** Guards against a paused node that delays the answers of the others. */
const OFFSET_TIMEOUT_MS = 1_000;

export class PeerTask implements AppendSource, StateSource {
  private readonly transport: PeerTransport<PeerMessage>;
  private readonly progress = new PeerProgress();
  private membership: Membership | null = null;
  private ownAddress = '';
  private membershipTicks: PeriodicTimer | null = null;

  constructor(private readonly options: PeerTaskOptions) {
    this.transport = new PeerTransport<PeerMessage>({
      nodeName: options.nodeName,
      listenHost: options.listenHost,
      selfAddress:
        options.listenPort === 0
          ? undefined
          : `${options.advertiseHost}:${options.listenPort}`,
      listenPort: options.listenPort,
      clusterSecret: options.clusterSecret,
      clock: options.clock,
      maxConnections: MAX_CONNECTIONS,
      maxMessageBytes: MAX_MESSAGE_BYTES,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      schema: peerMessageSchema,
      onMessage: (from, message) => this.receive(from.address, message),
      onFault: error => options.onFault(error),
    });
  }

  /** Opens the port, which becomes part of `MemberInfo.peerAddress`. */
  async listen(): Promise<{port: number}> {
    return this.transport.start();
  }

  join(self: MemberInfo): void {
    const {clock, random, seeds} = this.options;
    this.ownAddress = self.peerAddress;
    this.membership = new Membership(self, {}, random);
    this.sendAll(this.membership.join(seeds, clock.monotonicMs()));
    this.membershipTicks = startPeriodic(clock, TICK_MS, () => {
      this.sendAll(this.membership?.tick(clock.monotonicMs()) ?? []);
    });
  }

  async stop(): Promise<void> {
    this.membershipTicks?.stop();
    await this.transport.stop();
  }

  /** Increases whenever the result of `listWriters` may have changed. */
  get writersVersion(): number {
    return (this.membership?.version ?? 0) + this.progress.version;
  }

  listMembers(): Member[] {
    return this.membership?.list() ?? [];
  }

  listUsable(): Member[] {
    return this.membership?.listUsable() ?? [];
  }

  /**
   * The members that may write records: those that read the log directly, or
   * all members if none does. Guards against an event that stays unplanned
   * because the node responsible for it cannot reach the log.
   */
  listWriters(): Member[] {
    const usable = this.listUsable();
    const deciders = usable.filter(member => this.mayDecide(member));
    return deciders.length === 0 ? usable : deciders;
  }

  findNextOffset(peerAddress: string): LogOffset | null {
    return this.progress.find(peerAddress)?.nextOffset ?? null;
  }

  /** Asks a node for its next log offset; null if it does not answer. */
  async askNextOffset(nodeName: string): Promise<LogOffset | null> {
    const peer = this.listPeers().find(other => other.nodeName === nodeName);
    if (!peer) return null;
    try {
      const reply = await this.transport.request(
        peer.peerAddress,
        {type: 'read-progress', ...this.ownProgress()},
        OFFSET_TIMEOUT_MS,
      );
      if (reply.type !== 'progress') return null;
      this.noteProgress(peer.peerAddress, reply);
      return reply.nextOffset;
    } catch {
      return null;
    }
  }

  leave(): void {
    this.sendAll(
      this.membership?.leave(this.options.clock.monotonicMs()) ?? [],
    );
  }

  sendReport(toAddress: string, message: ReportMessage): void {
    this.transport.send(toAddress, {type: 'report', message});
  }

  /** Asks a steward for the whole state of an engine; null if it has none. */
  async pullEngine(
    toAddress: string,
    backendServerId: BackendServerId,
  ): Promise<PulledEngine | null> {
    try {
      const reply = await this.transport.request(toAddress, {
        type: 'pull-engine',
        backendServerId,
      });
      return reply.type === 'engine' ? reply.pulled : null;
    } catch {
      return null;
    }
  }

  /** Tells all other nodes about hosts that are leaving. */
  broadcastLeaving(
    backendServerIds: readonly string[],
    nodeNames: readonly string[],
  ): void {
    this.noteNodesLeaving(nodeNames);
    this.listPeers().forEach(peer =>
      this.transport.send(peer.peerAddress, {
        type: 'hosts-leaving',
        backendServerIds: [...backendServerIds],
        nodeNames: [...nodeNames],
      }),
    );
  }

  sendDemand(nodeName: string, model: string): void {
    const peer = this.listPeers().find(other => other.nodeName === nodeName);
    if (peer) this.transport.send(peer.peerAddress, {type: 'demand', model});
  }

  /**
   * The nodes to which callers may be sent. Suspected nodes are left out unless
   * all are suspected, because a ticket of a dead node cannot be redeemed.
   */
  listEntries(): Member[] {
    const usable = this.listUsable();
    const alive = usable.filter(member => member.status === 'alive');
    return alive.length > 0 ? alive : usable;
  }

  /** Where a process can be reached, unless membership knows it as gone. */
  findProcess(
    incarnation: string,
  ): {incarnation: string; baseUrl: string} | null {
    const member = this.listMembers().find(
      other => other.incarnation === incarnation && other.status !== 'gone',
    );
    return member ? {incarnation, baseUrl: member.callerBaseUrl} : null;
  }

  /** All usable nodes except this one. */
  listPeers(): Member[] {
    return this.listUsable().filter(
      member => member.nodeName !== this.options.nodeName,
    );
  }

  request(
    peerAddress: string,
    message: PeerMessage,
    timeoutMs: number,
  ): Promise<PeerMessage> {
    return this.transport.request(peerAddress, message, timeoutMs);
  }

  /** Tells the process that accepted a request that its caller has resumed. */
  sendResumed(incarnation: string, engineRequestId: string): void {
    const peer = this.listMembers().find(
      other => other.incarnation === incarnation,
    );
    if (!peer) return;
    const message: PeerMessage = {type: 'resumed', engineRequestId};
    this.transport.send(peer.peerAddress, message);
  }

  async pullAppends(from: LogOffset): Promise<LogRecord[]> {
    const peer = pickOne(
      this.options.random,
      this.listPeers().filter(other => this.offsetOf(other) > from),
    );
    if (!peer) return [];
    try {
      const reply = await this.transport.request(peer.peerAddress, {
        type: 'pull-appends',
        from,
      });
      return reply.type === 'appends' ? reply.records : [];
    } catch {
      return [];
    }
  }

  async pullState(): Promise<AgreedState | null> {
    const peer = this.findMostAdvanced();
    if (!peer) return null;
    try {
      const reply = await this.transport.request(peer.peerAddress, {
        type: 'pull-state',
      });
      return reply.type === 'state' && reply.data
        ? AgreedState.fromBytes(reply.data)
        : null;
    } catch {
      return null;
    }
  }

  /** Peers of unknown progress come last. */
  private findMostAdvanced(): Member | undefined {
    return this.listPeers()
      .toSorted((a, b) => this.offsetOf(b) - this.offsetOf(a))
      .at(0);
  }

  private offsetOf(member: Member): LogOffset {
    return this.progress.find(member.peerAddress)?.nextOffset ?? -1;
  }

  /**
   * Records hints about other nodes; announces the leave if this node is named.
   */
  private noteNodesLeaving(nodeNames: readonly string[]): void {
    const nowMs = this.options.clock.monotonicMs();
    nodeNames.forEach(nodeName =>
      this.membership?.applyHint({nodeName, state: 'leaving'}, nowMs),
    );
    if (nodeNames.includes(this.options.nodeName)) this.leave();
  }

  private mayDecide(member: Member): boolean {
    return this.progress.find(member.peerAddress)?.isLogReachable ?? true;
  }

  private sendAll(messages: readonly OutgoingMessage[]): void {
    const progress = this.ownProgress();
    this.progress.note(this.ownAddress, progress);
    messages.forEach(({toAddress, message}) =>
      this.transport.send(toAddress, {
        type: 'membership',
        message,
        ...progress,
      }),
    );
  }

  private ownProgress(): Progress {
    const {nextOffset, isLogReachable} = this.options.follower.status;
    return {nextOffset, isLogReachable};
  }

  private noteProgress(address: string, progress: Progress): void {
    this.progress.note(address, progress);
    this.options.follower.handlePeerOffset(progress.nextOffset);
  }

  private receive(
    fromAddress: string,
    message: PeerMessage,
  ): PeerMessage | void {
    switch (message.type) {
      case 'membership':
        this.noteProgress(fromAddress, message);
        this.sendAll(
          this.membership?.receive(
            fromAddress,
            message.message,
            this.options.clock.monotonicMs(),
          ) ?? [],
        );
        return;
      case 'pull-appends':
        return {
          type: 'appends',
          records: this.options.follower.listAppends(message.from),
        };
      case 'read-progress':
        this.noteProgress(fromAddress, message);
        return {type: 'progress', ...this.ownProgress()};
      case 'pull-state':
        return {type: 'state', data: this.options.follower.state.toBytes()};
      case 'report':
        this.options.onReport(fromAddress, message.message);
        return;
      case 'pull-engine':
        return {
          type: 'engine',
          pulled: this.options.findOwnEngine(message.backendServerId),
        };
      case 'hosts-leaving':
        this.noteNodesLeaving(message.nodeNames);
        this.options.onServersLeaving(message.backendServerIds);
        return;
      case 'demand':
        this.options.onDemand(message.model);
        return;
      case 'ticket-page':
      case 'find-ticket':
      case 'ticket-page-taken':
      case 'ticket-verdict':
        return this.options.onTicketMessage(message);
      case 'resumed':
        this.options.onResumed(message.engineRequestId);
        return;
      case 'appends':
      case 'engine':
      case 'progress':
      case 'state':
        return;
    }
  }
}
