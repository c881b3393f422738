/**
 * The task that owns the connections between nodes. Every node speaks to the
 * node that schedules and hears of all others through it, so that what a node
 * has to say does not grow with their number.
 */
import {type CrashReport} from '@mimosatack/contain-requests';
import {toTypedError} from '@mimosatack/errors';
import {type DutyHolder, type HolderContact} from '@mimosatack/hold-duty';
import {type PeerTransport} from '@mimosatack/peer-transport';
import {type FromHolder, type ToHolder} from '@mimosatack/schedule-service';
import {startPeriodic} from '@mimosatack/tasks';
import {HolderContacts} from './holder_contacts.js';
import {readLastOrders} from './last_orders.js';
import {
  chooseWitnesses,
  findAskingDelayMs,
  isHeardByAny,
} from './holder_inquiry.js';
import {HolderNews} from './last_welcome.js';
import {chooseSuccessor, findDutyRank} from './duty_order.js';
import {DutyPromises, START_QUIET_MS} from './lease_grants.js';
import {
  type HelloStatus,
  type LastOrdersMessage,
  type NodeMessage,
  type RecordsMessage,
  type Welcome,
} from './messages.js';
import {makeTransport} from './make_transport.js';
import {type DutyPromise, NodeRoster} from './node_roster.js';
import {type NodeLinksOptions, type Successor} from './node_links_options.js';
import {RecordCatchUp} from './record_catch_up.js';
import {KnownServingList, ServingList} from './serving_list.js';
import {SilentNodes} from './silent_nodes.js';
import {ToldConfirmation} from './told_confirmation.js';

/** Heartbeats; several fit into the time after which a holder counts as silent. */
const HELLO_INTERVAL_MS = 250;
/** A node that has read the servers lately lacks nothing for long. */
const READ_LATELY_MS = 1_000;
/** As many as one answer of the directory names. */
const MAX_TOLD_NODES = 64;

/** Heartbeats to the holder, and messages to and from it. */
export class NodeLinks {
  private readonly transport: PeerTransport<NodeMessage>;
  private readonly contacts: HolderContacts;
  private readonly roster: NodeRoster;
  private readonly catchUp: RecordCatchUp;
  private readonly promises: DutyPromises;
  private readonly silentNodes: SilentNodes;
  private readonly told: ToldConfirmation;
  private readonly servingList: ServingList;
  private readonly knownServing = new KnownServingList();
  private readonly quietEndsAtMs: number;
  private readonly news = new HolderNews();
  private wasAlive = false;

  constructor(private readonly options: NodeLinksOptions) {
    const {clock, self} = options;
    this.contacts = new HolderContacts(clock);
    this.roster = new NodeRoster(clock);
    this.promises = new DutyPromises(clock);
    this.silentNodes = new SilentNodes(clock);
    this.told = new ToldConfirmation(options.confirmation);
    this.servingList = new ServingList(clock, self.incarnation, () =>
      this.listServing(),
    );
    this.quietEndsAtMs = clock.monotonicMs() + START_QUIET_MS;
    this.catchUp = new RecordCatchUp({
      ...options,
      readsServers: () => options.serversAgeMs() < READ_LATELY_MS,
      ownReadMs: () => options.confirmation.ownReadMs,
      request: (address, message, timeoutMs) =>
        this.transport.request(address, message, timeoutMs),
    });
    this.transport = makeTransport(options, (from, message) =>
      this.receive(from, message),
    );
  }

  async start(): Promise<void> {
    await this.transport.start();
    startPeriodic(this.options.clock, HELLO_INTERVAL_MS, () => this.tick());
  }

  /** What the heartbeats tell of a holder. */
  contactWith(holder: DutyHolder): HolderContact {
    return this.contacts.find(holder);
  }

  /** Whether another node has said that it hears the holder. */
  get isHolderHeardByOthers(): boolean {
    return this.contacts.isHeardByOthers;
  }

  /** Until when this node has promised not to claim the duty. */
  get promisedUntilMs(): number {
    return this.promises.endsAtMs;
  }

  /** Until when this process claims nothing, since it has just started. */
  get quietUntilMs(): number {
    return this.quietEndsAtMs;
  }

  /** Whether a holder's process counts on the promise of this one. */
  isCountedBy(incarnation: string): boolean {
    return this.promises.isCountedBy(incarnation);
  }

  /** Until when all other nodes that are known have promised that to this one. */
  grantedUntilMs(token: number, sinceMs: number): number {
    const {self, listNodes} = this.options;
    const registered = listNodes().map(({nodeName}) => nodeName);
    const names = new Set([...registered, ...this.roster.listNames()]);
    names.delete(self.nodeName);
    return this.roster.findGrantEndMs([...names], token, sinceMs);
  }

  /** How old the holder's knowledge of the servers was when it last spoke. */
  get holderServersAgeMs(): number {
    const holder = this.options.holder();
    if (!holder || this.isSelf(holder)) return Infinity;
    const sinceMs = this.contacts.sinceContactMs(holder);
    return sinceMs + this.news.serversAgeMs;
  }

  /** Whether another node, which is heard, passes the registered nodes on. */
  get isToldOfNodes(): boolean {
    const holder = this.options.holder();
    if (!holder || this.isSelf(holder)) return false;
    return this.news.hasNodesOf(holder) && this.contactWith(holder) === 'alive';
  }

  sendToHolder(message: ToHolder): boolean {
    const {holder: findHolder, onToHolder, self} = this.options;
    const holder = findHolder();
    if (!holder || this.contactWith(holder) !== 'alive') return false;
    if (this.isSelf(holder)) onToHolder(self.peerAddress, message);
    else {
      this.transport.send(holder.address, {type: 'to-holder', body: message});
    }
    return true;
  }

  sendToNode(address: string, message: FromHolder): void {
    const {self, onFromHolder} = this.options;
    if (address === self.peerAddress) onFromHolder(message);
    else this.transport.send(address, {type: 'from-holder', body: message});
  }

  /** Passes records on to all nodes that have spoken lately. */
  broadcastRecords(message: RecordsMessage): void {
    this.roster
      .listAddresses()
      .forEach(address => this.transport.send(address, message));
  }

  /** How many of the registered nodes take a duty before this one. */
  findRank(): number {
    const {self, listNodes} = this.options;
    return findDutyRank(self, listNodes());
  }

  /** Who takes a duty over from this node when it stops. */
  findSuccessor(): Successor | null {
    const {incarnation: own} = this.options.self;
    const others = this.roster
      .listServing()
      .filter(({incarnation}) => incarnation !== own);
    return chooseSuccessor(others, this.options.listNodes());
  }

  private async tick(): Promise<void> {
    const holder = this.options.holder();
    if (!holder) return;
    if (this.isSelf(holder)) {
      this.contacts.noteHeard(holder);
      this.options.onServingNodes(this.servingList.names);
      this.lookAfterSilent(holder);
    } else {
      this.silentNodes.forget();
      await this.greet(holder);
    }
    this.noteContact(holder);
    if (this.contactWith(holder) === 'silent') await this.askOthers(holder);
  }

  private noteContact(holder: DutyHolder): void {
    const isAlive = this.contactWith(holder) === 'alive';
    if (isAlive === this.wasAlive) return;
    this.wasAlive = isAlive;
    this.options.onContact(isAlive);
  }

  /**
   * Guards against nodes that know nobody: one that is restarted while the store
   * is away learns of the holder from it, and from that on all it needs to
   * serve. One that stays silent is taken off the list, or the holder would wait
   * for its promise whenever the store is away.
   */
  private lookAfterSilent(holder: DutyHolder): void {
    const {self, listNodes, onNodeLost} = this.options;
    const nodes = listNodes();
    const others = nodes.filter(({nodeName}) => nodeName !== self.nodeName);
    const {greet, strike} = this.silentNodes.look(others, nodeName =>
      this.roster.heardAtMs(nodeName),
    );
    greet.forEach(({peerAddress}) =>
      this.transport.send(peerAddress, {
        ...{type: 'introduction', holder},
        nodes: nodes.slice(0, MAX_TOLD_NODES),
      }),
    );
    strike.forEach(node => onNodeLost(node));
  }

  /**
   * Promises for the next process of this node too, so that the holder can go on
   * proving its lease while this node is restarted.
   */
  sayGoodbye(): void {
    const holder = this.options.holder();
    if (!holder || this.isSelf(holder)) return;
    const {nodeName, incarnation} = this.options.self;
    const promise = this.makePromise(holder, START_QUIET_MS);
    if (!promise) return;
    this.transport.send(holder.address, {
      type: 'hello',
      status: {
        ...{nodeName, incarnation, promise},
        ...{servingListId: null, crashes: null, ...this.options.readStatus()},
        ...{quotas: this.options.quotas.makeReport(), confirmedBeatMs: null},
      },
    });
  }

  /** Tells others that this node orders no more, and whom it ordered lately. */
  tellLastOrders(
    message: LastOrdersMessage,
    addresses: readonly string[] = this.roster.listAddresses(),
  ): void {
    addresses.forEach(address => this.transport.send(address, message));
  }

  private takeLastOrders(message: LastOrdersMessage): void {
    const {clock, holder: findHolder, onLastOrders} = this.options;
    onLastOrders(readLastOrders(message, clock));
    const holder = findHolder();
    const isHolder = holder?.incarnation === message.incarnation;
    if (holder && isHolder && message.isEnding) this.contacts.noteEnded(holder);
  }

  private async greet(holder: DutyHolder): Promise<void> {
    const {self, readStatus} = this.options;
    const {nodeName, incarnation} = self;
    const promise = this.makePromise(holder);
    const crashes = this.options.crashes.makeReport(holder.incarnation);
    const quotas = this.options.quotas.makeReport();
    const confirmedBeatMs = this.told.findBeatMs(holder.incarnation);
    const sentAtMs = this.options.clock.monotonicMs();
    const sentAwakeMs = this.options.confirmation.nowMs;
    try {
      const reply = await this.transport.request(holder.address, {
        type: 'hello',
        status: {
          ...{nodeName, incarnation, promise, ...readStatus()},
          ...{servingListId: this.knownServing.id, crashes},
          ...{quotas, confirmedBeatMs},
        },
      });
      if (reply.type !== 'welcome') return;
      this.takeWelcome(holder, reply);
      this.takeCrashes(crashes, reply);
      const isOwn = reply.incarnation === holder.incarnation;
      if (isOwn) {
        this.told.takeWelcome(holder.incarnation, reply, sentAwakeMs);
        if (reply.quotas) this.options.quotas.takeReply(reply.quotas);
      }
      if (promise && isOwn) this.promises.noteAnswered(holder, sentAtMs);
    } catch (thrown) {
      this.contacts.noteFailure(holder, toTypedError(thrown));
    }
  }

  /** Binding from the moment at which it is sent; none to one that is silent. */
  private makePromise(holder: DutyHolder, forMs?: number): DutyPromise | null {
    if (this.contactWith(holder) !== 'alive') return null;
    const welcome = this.news.findWelcomeOf(holder);
    return welcome && this.promises.make(holder, welcome, forMs);
  }

  private takeWelcome(holder: DutyHolder, welcome: Welcome): void {
    if (welcome.holder) this.options.onHolder(welcome.holder);
    if (welcome.incarnation !== holder.incarnation) {
      this.contacts.noteEnded(holder);
      return;
    }
    this.news.take(welcome);
    this.contacts.noteHeard(holder);
    this.options.onServingNodes(this.knownServing.take(welcome));
    this.catchUp.look(holder.address, welcome);
  }

  private takeCrashes(
    report: CrashReport | null,
    {incarnation, crashes}: Welcome,
  ): void {
    if (!crashes) return;
    this.options.crashes.takeReply(incarnation, report, crashes);
  }

  private async askOthers(holder: DutyHolder): Promise<void> {
    const {self, listNodes} = this.options;
    const silentForMs = this.contacts.sinceContactMs(holder);
    if (silentForMs < findAskingDelayMs(this.findRank())) return;
    const addresses = chooseWitnesses(self, holder, listNodes()).map(
      ({peerAddress}) => peerAddress,
    );
    const isHeard = await isHeardByAny(addresses, holder, (address, message) =>
      this.transport.request(address, message),
    );
    this.contacts.noteOthers(holder, isHeard);
  }

  private receive(from: string, message: NodeMessage): NodeMessage | undefined {
    const {options} = this;
    switch (message.type) {
      case 'hello':
        this.roster.note(from, message.status);
        this.catchUp.look(from, message.status);
        this.told.takeHello(message.status);
        return this.makeWelcome(message.status);
      case 'introduction':
        options.onNodes(message.nodes);
        options.onHolder(message.holder);
        return undefined;
      case 'last-orders':
        this.takeLastOrders(message);
        return undefined;
      case 'ask-heard':
        return {type: 'heard', isHeard: this.hears(message.token)};
      case 'ask-records':
        return options.readRecords(message.topic, message.fromOffset);
      case 'records':
        options.onRecords(message, from);
        return undefined;
      case 'to-holder':
        options.onToHolder(from, message.body);
        return undefined;
      case 'from-holder':
        options.onFromHolder(message.body);
        return undefined;
      default:
        return undefined;
    }
  }

  private makeWelcome(status: HelloStatus): Welcome {
    const {servingListId, crashes, quotas, incarnation} = status;
    const {options} = this;
    const {configurationVersion, serversEndOffset, nodesEndOffset} =
      options.readStatus();
    const ageMs = options.serversAgeMs();
    return {
      type: 'welcome',
      incarnation: options.self.incarnation,
      beatMs: options.clock.monotonicMs(),
      holder: options.holder(),
      ...this.servingList.tell(servingListId),
      crashes: options.crashes.answer(crashes),
      quotas: options.quotas.answer(incarnation, quotas),
      ...this.told.describe(),
      serversAgeMs: Number.isFinite(ageMs) ? ageMs : null,
      ...{configurationVersion, serversEndOffset, nodesEndOffset},
    };
  }

  private hears(token: number): boolean {
    const holder = this.options.holder();
    return holder?.token === token && this.contactWith(holder) === 'alive';
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
