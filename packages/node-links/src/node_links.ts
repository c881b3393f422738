/**
 * The connections between nodes. Every node exchanges heartbeats with the duty
 * holder only, so that the traffic of a node does not grow with the cluster.
 */
import {type CrashReport} from '@mimosatack/contain-requests';
import {toTypedError} from '@mimosatack/errors';
import {type DutyHolder, type HolderContact} from '@mimosatack/hold-duty';
import {type LimitReport} from '@mimosatack/share-limits';
import {type PeerTransport} from '@mimosatack/peer-transport';
import {type FromHolderMessage} from '@mimosatack/schedule-service';
import {startPeriodic} from '@mimosatack/tasks';
import {
  type AskStream,
  type StreamReply,
  type StreamsBegun,
} from '@mimosatack/track-streams';
import {HolderChannel} from './holder_channel.js';
import {HolderContacts} from './holder_contacts.js';
import {toLastOrders} from './last_orders.js';
import {LastWelcome} from './last_welcome.js';
import {findDutyRank} from './duty_order.js';
import {LiveNodes} from './live_nodes.js';
import {LeaseGrants, STARTUP_HOLD_OFF_MS} from './lease_grants.js';
import {
  type Hello,
  type HelloStatus,
  type LastOrdersMessage,
  type NodeMessage,
  type RecordsMessage,
  type Welcome,
} from './messages.js';
import {type MessageReply, makeTransport} from './make_transport.js';
import {type LeaseGrant, NodeRoster} from './node_roster.js';
import {type NodeLinksOptions} from './node_links_options.js';
import {readHello} from './read_hello.js';
import {RecordCatchUp} from './record_catch_up.js';
import {ViaHolder} from './via_holder.js';
import {ReceivedServingList, ServingList} from './serving_list.js';
import {SilentNodes} from './silent_nodes.js';
import {PeerInquiry} from './peer_inquiry.js';
import {SuccessorFinder} from './successor_finder.js';
import {ConfirmationExchange} from './confirmation_exchange.js';

/** Several heartbeats fit into the time after which a holder counts as silent. */
const HEARTBEAT_INTERVAL_MS = 250;
/** A node that read the servers this recently does not fetch them from peers. */
const FRESH_READ_MS = 1_000;
/** As many nodes as one answer of the directory lists. */
const MAX_INTRODUCED_NODES = 64;

/** Sends heartbeats to the duty holder and routes messages between nodes. */
export class NodeLinks {
  private readonly transport: PeerTransport<NodeMessage>;
  private readonly contacts: HolderContacts;
  private readonly roster: NodeRoster;
  private readonly catchUp: RecordCatchUp;
  private readonly grants: LeaseGrants;
  private readonly silentNodes: SilentNodes;
  private readonly confirmations: ConfirmationExchange;
  private readonly inquiry: PeerInquiry;
  private readonly servingList: ServingList;
  private readonly receivedServingList = new ReceivedServingList();
  private readonly holdOffEndsAtMs: number;
  private readonly lastWelcome = new LastWelcome();
  /** What this node knows through the holder. */
  readonly viaHolder: ViaHolder;
  readonly holderChannel: HolderChannel;
  readonly successors: SuccessorFinder;
  /** Which nodes are known to live, with or without a scheduling node. */
  readonly liveNodes: LiveNodes;
  private wasAlive = false;

  constructor(private readonly options: NodeLinksOptions) {
    const {clock, self} = options;
    this.contacts = new HolderContacts(clock);
    this.roster = new NodeRoster(clock);
    this.liveNodes = new LiveNodes(clock, options.listNodes);
    this.grants = new LeaseGrants(clock);
    this.silentNodes = new SilentNodes(clock);
    this.confirmations = new ConfirmationExchange(options.confirmation);
    this.servingList = new ServingList(clock, self.incarnation, () =>
      this.listServing(),
    );
    const {contacts, lastWelcome, roster} = this;
    this.viaHolder = new ViaHolder({
      ...options,
      ...{contacts, lastWelcome, roster},
    });
    this.holdOffEndsAtMs = clock.monotonicMs() + STARTUP_HOLD_OFF_MS;
    this.catchUp = new RecordCatchUp({
      ...options,
      readsServers: () => options.serversAgeMs() < FRESH_READ_MS,
      ownReadMs: () => options.confirmation.ownReadMs,
      request: (address, message, timeoutMs) =>
        this.transport.request(address, message, timeoutMs),
    });
    this.transport = makeTransport(options, (from, message) =>
      this.receive(from, message),
    );
    const {transport, liveNodes} = this;
    this.inquiry = new PeerInquiry({
      ...{...options, contacts, liveNodes},
      findRank: () => this.findRank(),
      request: (address, message) => transport.request(address, message),
    });
    this.holderChannel = new HolderChannel({
      ...{...options, contacts, transport},
      knowsPlaces: holder => lastWelcome.knowsPlaces(holder),
    });
    this.successors = new SuccessorFinder({...options, roster});
  }

  async start(): Promise<void> {
    await this.transport.start();
    startPeriodic(this.options.clock, HEARTBEAT_INTERVAL_MS, () => this.tick());
  }

  /** Contact state of a holder, derived from heartbeats. */
  findContact(holder: DutyHolder): HolderContact {
    return this.contacts.find(holder);
  }

  /** Whether another node recently reported contact with the holder. */
  get isHolderHeardByOthers(): boolean {
    return this.contacts.isReachedByOthers;
  }

  /** Time until which this node's grants keep it from claiming the duty. */
  get ownGrantEndsAtMs(): number {
    return this.grants.endsAtMs;
  }

  /** Time until which this process does not claim the duty after its start. */
  get claimHoldOffUntilMs(): number {
    return this.holdOffEndsAtMs;
  }

  /** Whether a holder process needs a grant from this node for its lease. */
  isGrantorOf(incarnation: string): boolean {
    return this.grants.isGrantorOf(incarnation);
  }

  /** Time until which all other known nodes have granted this node the lease. */
  findGrantsEndMs(token: number, sinceMs: number): number {
    const {self, listNodes} = this.options;
    const registered = listNodes().map(({nodeName}) => nodeName);
    const names = new Set([...registered, ...this.roster.listNames()]);
    names.delete(self.nodeName);
    return this.roster.findGrantEndMs([...names], token, sinceMs);
  }

  /** Opens a connection to a server through another node. */
  openRelay(
    ...terms: Parameters<PeerTransport<NodeMessage>['openRelay']>
  ): ReturnType<PeerTransport<NodeMessage>['openRelay']> {
    return this.transport.openRelay(...terms);
  }

  sendToNode(address: string, message: FromHolderMessage): void {
    const {self, onFromHolder} = this.options;
    if (address === self.peerAddress) onFromHolder(message);
    else this.transport.send(address, {type: 'from-holder', body: message});
  }

  /** Sends a message about places to this node, and to others that understand it. */
  sendToPlaceNodes(message: FromHolderMessage): void {
    const {peerAddress} = this.options.self;
    const others = this.roster.listPlaceAddresses();
    [...others.filter(other => other !== peerAddress), peerAddress].forEach(
      address => this.sendToNode(address, message),
    );
  }

  sendStreamsBegun(address: string, message: StreamsBegun): void {
    this.transport.send(address, message);
  }

  /** Resolves with null if the node does not answer in time. */
  async askForStream(
    address: string,
    ask: AskStream,
    timeoutMs: number,
  ): Promise<StreamReply | null> {
    try {
      const reply = await this.transport.request(address, ask, timeoutMs);
      return reply.type === 'stream-reply' ? reply : null;
    } catch (thrown) {
      this.options.onFault(toTypedError(thrown));
      return null;
    }
  }

  /** Sends records to all nodes with a recent heartbeat. */
  broadcastRecords(message: RecordsMessage): void {
    this.roster
      .listAddresses()
      .forEach(address => this.transport.send(address, message));
  }

  /** Number of registered nodes that claim the duty before this one. */
  findRank(): number {
    const {self, listNodes} = this.options;
    return findDutyRank(self, listNodes());
  }

  private async tick(): Promise<void> {
    const holder = this.options.holder();
    this.liveNodes.update();
    if (!holder) return this.inquiry.askIfDue(null);
    if (this.isSelf(holder)) {
      this.contacts.noteHeard(holder);
      this.reportServingNodes(this.servingList.names);
      this.handleSilentNodes(holder);
    } else {
      this.silentNodes.clear();
      await this.sendHello(holder);
    }
    this.reportContactChange(holder);
    await this.inquiry.askIfDue(holder);
  }

  private reportServingNodes(nodeNames: readonly string[]): void {
    this.inquiry.recordReport();
    this.liveNodes.recordReport(nodeNames);
    this.options.onServingNodes(nodeNames);
  }

  private reportContactChange(holder: DutyHolder): void {
    const isAlive = this.findContact(holder) === 'alive';
    if (isAlive === this.wasAlive) return;
    this.wasAlive = isAlive;
    this.options.onHolderContactChange(isAlive);
  }

  /**
   * Introduces the holder to nodes that may have restarted while the store is
   * unavailable. Nodes that stay silent are reported as lost; otherwise the
   * holder could not renew its lease by grants without them.
   */
  private handleSilentNodes(holder: DutyHolder): void {
    const {self, listNodes, onNodeLost} = this.options;
    const nodes = listNodes();
    const others = nodes.filter(({nodeName}) => nodeName !== self.nodeName);
    const {introduce, remove} = this.silentNodes.update(others, {
      heardAtMs: nodeName => this.roster.heardAtMs(nodeName),
      lastSeenMs: nodeName => this.liveNodes.lastSeenMs(nodeName),
    });
    introduce.forEach(({peerAddress}) =>
      this.transport.send(peerAddress, {
        ...{type: 'introduction', holder},
        nodes: nodes.slice(0, MAX_INTRODUCED_NODES),
      }),
    );
    remove.forEach(node => onNodeLost(node));
  }

  /**
   * Sends a last grant that also covers the next process of this node, so that
   * the holder can renew its lease while this node restarts.
   */
  sendFinalGrant(): void {
    const holder = this.options.holder();
    if (!holder || this.isSelf(holder)) return;
    const promise = this.issueGrant(holder, STARTUP_HOLD_OFF_MS);
    if (!promise) return;
    const status = this.makeHelloStatus(promise, null, null);
    this.transport.send(holder.address, {
      ...{type: 'hello', to: holder.incarnation},
      status: {...status, servingListId: null},
    });
  }

  /** Tells other nodes which orders this node sent before it stopped scheduling. */
  sendLastOrders(
    message: LastOrdersMessage,
    addresses: readonly string[] = this.roster.listAddresses(),
  ): void {
    addresses.forEach(address => this.transport.send(address, message));
  }

  private handleLastOrders(message: LastOrdersMessage): void {
    const {clock, holder: findHolder, onLastOrders} = this.options;
    const lastOrders = toLastOrders(message, clock);
    if (lastOrders) onLastOrders(lastOrders);
    const holder = findHolder();
    const isHolder = holder?.incarnation === message.incarnation;
    if (holder && isHolder && message.isEnding) this.contacts.noteEnded(holder);
  }

  private makeHelloStatus(
    promise: LeaseGrant | null,
    crashes: CrashReport | null,
    limits: LimitReport | null,
  ): HelloStatus {
    const {self, readStatus, quotas} = this.options;
    const {nodeName, incarnation} = self;
    return {
      ...{nodeName, incarnation, promise, ...readStatus()},
      ...{servingListId: this.receivedServingList.id, crashes, limits},
      ...{quotas: quotas.makeReport(), configurationAsOfBeatMs: null},
      knowsPlaces: true,
    };
  }

  private async sendHello(holder: DutyHolder): Promise<void> {
    const promise = this.issueGrant(holder);
    const crashes = this.options.crashes.makeReport(holder.incarnation);
    const limits = this.options.limits.makeReport(holder.incarnation);
    const {incarnation: to} = holder;
    const configurationAsOfBeatMs = this.confirmations.findAsOfBeatMs(to);
    const status = this.makeHelloStatus(promise, crashes, limits);
    const sentAtMs = this.options.clock.monotonicMs();
    const sentAtSuspensionAwareMs = this.options.confirmation.nowMs;
    try {
      const reply = await this.transport.request(holder.address, {
        ...{type: 'hello', to, status: {...status, configurationAsOfBeatMs}},
      });
      if (reply.type !== 'welcome') return;
      this.handleWelcome(holder, reply, sentAtMs);
      this.handleCrashReply(crashes, reply);
      const isFromHolder = reply.incarnation === holder.incarnation;
      if (isFromHolder) {
        this.confirmations.handleWelcome(
          holder,
          reply,
          sentAtSuspensionAwareMs,
        );
        if (reply.quotas) this.options.quotas.applyReply(reply.quotas);
        if (reply.limits) {
          this.options.limits.applyReply(holder.incarnation, reply.limits);
        }
      }
      if (promise && isFromHolder) this.grants.noteReply(holder, sentAtMs);
    } catch (thrown) {
      this.contacts.noteFailure(holder, toTypedError(thrown));
    }
  }

  /** Issues a grant for the next heartbeat; null while the holder is silent. */
  private issueGrant(holder: DutyHolder, forMs?: number): LeaseGrant | null {
    if (this.findContact(holder) !== 'alive') return null;
    const welcome = this.lastWelcome.findFrom(holder);
    return welcome && this.grants.issue(holder, welcome, forMs);
  }

  private handleWelcome(
    holder: DutyHolder,
    welcome: Welcome,
    sentAtMs: number,
  ): void {
    if (welcome.holder) this.options.onHolder(welcome.holder);
    if (welcome.incarnation !== holder.incarnation) {
      this.contacts.noteEnded(holder);
      return;
    }
    this.lastWelcome.record(welcome, sentAtMs);
    this.contacts.noteHeard(holder);
    this.options.onFromHolder({
      type: 'coordinated-services',
      services: welcome.coordinatedServices ?? [],
    });
    this.reportServingNodes(this.receivedServingList.apply(welcome));
    this.catchUp.compare(holder.address, welcome);
  }

  private handleCrashReply(
    report: CrashReport | null,
    {incarnation, crashes}: Welcome,
  ): void {
    if (!crashes) return;
    this.options.crashes.handleReply(incarnation, report, crashes);
  }

  private receive(from: string, message: NodeMessage): MessageReply {
    const {options} = this;
    switch (message.type) {
      case 'hello':
        return this.handleHello(from, message);
      case 'introduction':
        options.onNodesIntroduced(message.nodes);
        options.onHolder(message.holder);
        return undefined;
      case 'last-orders':
        this.handleLastOrders(message);
        return undefined;
      case 'ask-heard':
        return this.makeHeardReply(message.token);
      case 'ask-records':
        return options.readRecords(message.topic, message.fromOffset);
      case 'records':
        options.onRecords(message, from);
        return undefined;
      case 'to-holder':
        options.onToHolder(from, message.body);
        return undefined;
      case 'suspect-ask':
        return options.suspects.handleAsk(message);
      case 'suspect-release':
        options.suspects.handleRelease(message);
        return undefined;
      case 'streams-begun':
        options.streams.handleBegun(message);
        return undefined;
      case 'ask-stream':
        return options.streams.handleAsk(message);
      case 'from-holder':
        options.onFromHolder(message.body);
        return undefined;
      default:
        return undefined;
    }
  }

  private handleHello(from: string, message: Hello): Welcome {
    const status = readHello(message, this.options.self.incarnation);
    this.roster.note(from, status);
    this.catchUp.compare(from, status);
    this.confirmations.handleHello(status);
    return this.makeWelcome(status);
  }

  private makeWelcome(status: HelloStatus): Welcome {
    const {servingListId, crashes, quotas, limits, incarnation} = status;
    const {options} = this;
    const {configurationVersion, serversEndOffset, nodesEndOffset} =
      options.readStatus();
    const ageMs = options.serversAgeMs();
    return {
      type: 'welcome',
      incarnation: options.self.incarnation,
      beatMs: options.clock.monotonicMs(),
      holder: options.holder(),
      ...this.servingList.describeFor(servingListId),
      crashes: options.crashes.handleReport(crashes),
      quotas: options.quotas.answerReport(incarnation, quotas),
      limits: options.limits.answerReport(limits),
      coordinatedServices: [...options.listCoordinated()],
      ...this.confirmations.describe(),
      serversAgeMs: Number.isFinite(ageMs) ? ageMs : null,
      ...{configurationVersion, serversEndOffset, nodesEndOffset},
      isNodeListConfirmed: this.viaHolder.isNodeListConfirmed,
    };
  }

  private makeHeardReply(token: number): NodeMessage {
    const {holder: findHolder, self, readStatus} = this.options;
    const holder = findHolder();
    const isHeard =
      holder?.token === token && this.findContact(holder) === 'alive';
    const {nodeName} = self;
    return {
      ...{type: 'heard', isHeard, nodeName},
      isServing: readStatus().isServing,
    };
  }

  private listServing(): string[] {
    const {self, readStatus} = this.options;
    const others = this.roster
      .listServing()
      .map(({nodeName}) => nodeName)
      .filter(nodeName => nodeName !== self.nodeName);
    return readStatus().isServing ? [self.nodeName, ...others] : others;
  }

  private isSelf({incarnation}: DutyHolder): boolean {
    return incarnation === this.options.self.incarnation;
  }
}
