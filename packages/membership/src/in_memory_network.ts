/** Simulates a cluster in one process, for tests and measurements. */
import {SeededRandom} from '@mimosatack/random';
import {type MemberInfo, type MemberStatus} from './member.js';
import {Membership} from './membership.js';
import {type MembershipMessage, type OutgoingMessage} from './messages.js';
import {type MembershipOptions} from './options.js';

/** Tick interval and message latency. */
export const STEP_MS = 100;

export interface Envelope extends OutgoingMessage {
  fromAddress: string;
}

export interface NodeSetup {
  info: MemberInfo;
  seeds: string[];
  options?: Partial<MembershipOptions>;
}

/** Delivers messages in a deterministic order, one step at a time. */
export class InMemoryNetwork {
  nowMs = 0;
  /** Decides whether a message is lost; none is by default. */
  isLost: (envelope: Envelope) => boolean = () => false;
  /** Called for every sent message, including lost ones. */
  onSend: (envelope: Envelope) => void = () => {};
  private readonly nodes = new Map<string, Membership>();
  private readonly paused = new Set<string>();
  private inFlight: Envelope[] = [];

  /** @param nextSeed seeds the random choices of all nodes. */
  constructor(private nextSeed = 1) {}

  /** Starts a node, replacing any at the same address. */
  start({info, seeds, options}: NodeSetup): Membership {
    const random = new SeededRandom(this.nextSeed++);
    const node = new Membership(info, options ?? {}, random);
    this.nodes.set(info.peerAddress, node);
    this.post(info.peerAddress, node.join(seeds, this.nowMs));
    return node;
  }

  /** Stops a node without a leave message. */
  kill(address: string): void {
    this.nodes.delete(address);
  }

  /** Pauses a node; its messages are queued until `resume`. */
  pause(address: string): void {
    this.paused.add(address);
  }

  /** Runs due timers before reading sockets, as an event loop does. */
  resume(address: string): void {
    this.paused.delete(address);
    this.post(address, this.get(address).tick(this.nowMs));
  }

  get(address: string): Membership {
    const node = this.nodes.get(address);
    if (!node) throw new Error(`No node runs at ${address}.`);
    return node;
  }

  listNodes(): Membership[] {
    return [...this.nodes.values()];
  }

  post(fromAddress: string, messages: readonly OutgoingMessage[]): void {
    messages
      .map(message => ({...message, fromAddress}))
      .forEach(envelope => {
        this.onSend(envelope);
        if (!this.isLost(envelope)) this.inFlight.push(envelope);
      });
  }

  /** Delivers the messages in flight, then calls `tick` on every node. */
  step(): void {
    this.nowMs += STEP_MS;
    const due = this.inFlight;
    this.inFlight = due.filter(({toAddress}) => this.paused.has(toAddress));
    due
      .filter(({toAddress}) => !this.paused.has(toAddress))
      .forEach(envelope => this.deliver(envelope));
    [...this.nodes]
      .filter(([address]) => !this.paused.has(address))
      .forEach(([address, node]) => this.post(address, node.tick(this.nowMs)));
  }

  run(durationMs: number): void {
    const stepCount = Math.ceil(durationMs / STEP_MS);
    Array.from({length: stepCount}).forEach(() => this.step());
  }

  /** Returns the elapsed time in ms, or null if `limitMs` is exceeded. */
  runUntil(condition: () => boolean, limitMs: number): number | null {
    const startMs = this.nowMs;
    while (!condition() && this.nowMs - startMs < limitMs) this.step();
    return condition() ? this.nowMs - startMs : null;
  }

  /** Whether all nodes except the named one list it with the status. */
  isSeenAs(nodeName: string, status: MemberStatus | undefined): boolean {
    return this.listNodes().every(
      node => statusOf(node, nodeName) === status || isSelf(node, nodeName),
    );
  }

  isSeenByAny(nodeName: string, status: MemberStatus): boolean {
    return this.listNodes().some(node => statusOf(node, nodeName) === status);
  }

  /** Whether every node lists exactly the running nodes, all as alive. */
  isConverged(): boolean {
    return this.listNodes().every(
      node =>
        node.listUsable().length === this.nodes.size &&
        node.listUsable().every(member => member.status === 'alive'),
    );
  }

  private deliver({fromAddress, toAddress, message}: Envelope): void {
    const node = this.nodes.get(toAddress);
    if (!node) return;
    const copy = structuredClone<MembershipMessage>(message);
    this.post(toAddress, node.receive(fromAddress, copy, this.nowMs));
  }
}

export function statusOf(
  node: Membership,
  nodeName: string,
): MemberStatus | undefined {
  return node.list().find(member => member.nodeName === nodeName)?.status;
}

function isSelf(node: Membership, nodeName: string): boolean {
  return node.self.nodeName === nodeName;
}
