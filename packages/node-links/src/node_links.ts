/**
 * The task that owns the connections between nodes. Every node speaks to the
 * node that schedules and hears of all others through it, so that what a node
 * has to say does not grow with their number.
 */
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type DutyHolder, type HolderContact} from '@mimosatack/hold-duty';
import {PeerTransport} from '@mimosatack/peer-transport';
import {type RandomSource} from '@mimosatack/random';
import {type FromHolder, type ToHolder} from '@mimosatack/schedule-service';
import {type Periodic, startPeriodic} from '@mimosatack/tasks';
import {type SocketAddress} from '@mimosatack/types';
import {HolderContacts} from './holder_contacts.js';
import {type KnownNode} from './known_node.js';
import {
  type NodeMessage,
  type RecordsMessage,
  type SharedTopic,
  type Welcome,
  messageSchema,
} from './messages.js';
import {type DutyPromise, NodeRoster} from './node_roster.js';

/** What a node says of itself with every heartbeat. */
export interface NodeStatus {
  isServing: boolean;
  uptimeMs: number;
  configurationVersion: number;
  serversEndOffset: number;
}

/** A node that can take over a duty. */
export interface Successor {
  nodeName: string;
  incarnation: string;
  address: string;
}

/** What the links are built from. */
export interface NodeLinksOptions {
  clock: Clock;
  random: RandomSource;
  self: KnownNode;
  listenAddress: SocketAddress;
  clusterSecret: string;
  holder: () => DutyHolder | null;
  /** All registered nodes. */
  listNodes: () => readonly KnownNode[];
  readStatus: () => NodeStatus;
  /** How long ago this node read the servers from the store. */
  serversAgeMs: () => number;
  readRecords: (topic: SharedTopic, fromOffset: number) => RecordsMessage;
  onRecords: (message: RecordsMessage, from: string) => void;
  onHolder: (holder: DutyHolder) => void;
  /** A message for the scheduler of this node. */
  onToHolder: (from: string, message: ToHolder) => void;
  onFromHolder: (message: FromHolder) => void;
  onServingNodes: (nodeNames: readonly string[]) => void;
  /** The holder is heard again, or no longer. */
  onContact: (isAlive: boolean) => void;
  onFault: (error: TypedError) => void;
}

const MAX_CONNECTIONS = 1_000;
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
/** Heartbeats; several fit into the time after which a holder counts as silent. */
const HELLO_INTERVAL_MS = 250;
const HELLO_TIMEOUT_MS = 500;
/**
 * How long a node promises not to claim the duty: several heartbeats, and less
 * than the silence after which it would claim anyway.
 */
const PROMISE_MS = 1_500;

/** Heartbeats to the holder, and messages to and from it. */
export class NodeLinks {
  private readonly transport: PeerTransport<NodeMessage>;
  private readonly contacts: HolderContacts;
  private readonly roster: NodeRoster;
  private periodics: Periodic[] = [];
  private promiseEndsAtMs = -Infinity;
  private lastWelcome: Welcome | null = null;
  private wasAlive = false;

  constructor(private readonly options: NodeLinksOptions) {
    const {clock, self, listenAddress, clusterSecret} = options;
    this.contacts = new HolderContacts(clock);
    this.roster = new NodeRoster(clock);
    this.transport = new PeerTransport<NodeMessage>({
      listenHost: listenAddress.ip,
      listenPort: listenAddress.port,
      selfAddress: self.peerAddress,
      nodeName: self.nodeName,
      ...{clusterSecret, clock},
      maxConnections: MAX_CONNECTIONS,
      maxMessageBytes: MAX_MESSAGE_BYTES,
      requestTimeoutMs: HELLO_TIMEOUT_MS,
      schema: messageSchema,
      onMessage: (from, message) => this.receive(from.address, message),
      onFault: error => options.onFault(error),
    });
  }

  async start(): Promise<void> {
    await this.transport.start();
    this.periodics = [
      startPeriodic(this.options.clock, HELLO_INTERVAL_MS, () => this.tick()),
    ];
  }

  async stop(): Promise<void> {
    this.periodics.forEach(periodic => periodic.stop());
    await this.transport.stop();
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
    return this.promiseEndsAtMs;
  }

  /** Until when all other registered nodes have promised that to this one. */
  grantedUntilMs(token: number, sinceMs: number): number {
    const {self, listNodes} = this.options;
    const others = listNodes()
      .map(({nodeName}) => nodeName)
      .filter(nodeName => nodeName !== self.nodeName);
    return this.roster.findGrantEndMs(others, token, sinceMs);
  }

  /** How old the holder's knowledge of the servers was when it last spoke. */
  get holderServersAgeMs(): number {
    const {lastWelcome} = this;
    const holder = this.options.holder();
    if (!lastWelcome || !holder || this.isSelf(holder)) return Infinity;
    const sinceMs = this.contacts.sinceContactMs(holder);
    return sinceMs + (lastWelcome.serversAgeMs ?? Infinity);
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

  /** The nodes before this one among the live ones, by name. */
  findRank(): number {
    const {self, listNodes} = this.options;
    return listNodes().filter(({nodeName}) => nodeName < self.nodeName).length;
  }

  /**
   * Who takes a duty over from this node when it stops: the node that was
   * started last, since nodes are restarted in turn and it has had its.
   */
  findSuccessor(): Successor | null {
    const {incarnation: own} = this.options.self;
    const youngest = this.roster
      .listServing()
      .filter(({incarnation}) => incarnation !== own)
      .sort((a, b) => a.uptimeMs - b.uptimeMs)[0];
    return youngest ?? null;
  }

  private async tick(): Promise<void> {
    const holder = this.options.holder();
    if (!holder) return;
    if (this.isSelf(holder)) {
      this.contacts.noteHeard(holder);
      this.tellServing(this.listServing());
    } else {
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

  private async greet(holder: DutyHolder): Promise<void> {
    const {self, readStatus} = this.options;
    const {nodeName, incarnation} = self;
    const promise = this.makePromise(holder);
    try {
      const reply = await this.transport.request(holder.address, {
        type: 'hello',
        status: {...{nodeName, incarnation, promise}, ...readStatus()},
      });
      if (reply.type === 'welcome') this.takeWelcome(holder, reply);
    } catch (thrown) {
      this.contacts.noteFailure(holder, toTypedError(thrown));
    }
  }

  /** Binding from the moment at which it is sent; none to one that is silent. */
  private makePromise(holder: DutyHolder): DutyPromise | null {
    const {lastWelcome} = this;
    if (this.contactWith(holder) !== 'alive') return null;
    if (lastWelcome?.incarnation !== holder.incarnation) return null;
    this.promiseEndsAtMs = this.options.clock.monotonicMs() + PROMISE_MS;
    const {beatMs} = lastWelcome;
    return {token: holder.token, beatMs, forMs: PROMISE_MS};
  }

  private takeWelcome(holder: DutyHolder, welcome: Welcome): void {
    if (welcome.holder) this.options.onHolder(welcome.holder);
    if (welcome.incarnation !== holder.incarnation) {
      this.contacts.noteGone(holder);
      return;
    }
    this.lastWelcome = welcome;
    this.contacts.noteHeard(holder);
    this.tellServing(welcome.servingNodes);
    this.catchUp(holder.address, welcome);
  }

  /**
   * Guards against a node that falls behind while the store turns it away:
   * whoever it speaks with has what it lacks.
   */
  private catchUp(
    address: string,
    theirs: Pick<NodeStatus, 'configurationVersion' | 'serversEndOffset'>,
  ): void {
    const own = this.options.readStatus();
    if (theirs.configurationVersion > own.configurationVersion) {
      void this.fetchRecords(address, 'configuration');
    }
    if (theirs.serversEndOffset > own.serversEndOffset) {
      void this.fetchRecords(address, 'servers');
    }
  }

  private async fetchRecords(
    address: string,
    topic: SharedTopic,
  ): Promise<void> {
    const fromOffset =
      topic === 'servers' ? this.options.readStatus().serversEndOffset : 0;
    try {
      const reply = await this.transport.request(address, {
        ...{type: 'ask-records', topic, fromOffset},
      });
      if (reply.type === 'records') this.options.onRecords(reply, address);
    } catch {
      // The next heartbeat finds the same gap and asks again.
    }
  }

  private async askOthers(holder: DutyHolder): Promise<void> {
    const {self, listNodes} = this.options;
    const others = listNodes()
      .map(({peerAddress}) => peerAddress)
      .filter(
        address => address !== self.peerAddress && address !== holder.address,
      );
    const answers = await Promise.all(
      others.map(address => this.askHeard(address, holder)),
    );
    this.contacts.noteOthers(holder, answers.some(Boolean));
  }

  private async askHeard(
    address: string,
    {token}: DutyHolder,
  ): Promise<boolean> {
    try {
      const reply = await this.transport.request(address, {
        ...{type: 'ask-heard', token},
      });
      return reply.type === 'heard' && reply.isHeard;
    } catch {
      // A node that can't be asked tells nothing of the holder.
      return false;
    }
  }

  private receive(from: string, message: NodeMessage): NodeMessage | undefined {
    const {options} = this;
    switch (message.type) {
      case 'hello':
        this.roster.note(from, message.status);
        this.catchUp(from, message.status);
        return this.makeWelcome();
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

  private makeWelcome(): Welcome {
    const {options} = this;
    const {configurationVersion, serversEndOffset} = options.readStatus();
    const ageMs = options.serversAgeMs();
    return {
      type: 'welcome',
      incarnation: options.self.incarnation,
      beatMs: options.clock.monotonicMs(),
      holder: options.holder(),
      servingNodes: this.listServing(),
      serversAgeMs: Number.isFinite(ageMs) ? ageMs : null,
      ...{configurationVersion, serversEndOffset},
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

  private tellServing(nodeNames: readonly string[]): void {
    this.options.onServingNodes(nodeNames);
  }

  private isSelf({incarnation}: DutyHolder): boolean {
    return incarnation === this.options.self.incarnation;
  }
}
