/** Several memberships in one process, for tests and measurements. */
import {SeededRandom} from '@mimosatack/random';
import {type MemberInfo, type MemberStatus} from './member.js';
import {Membership} from './membership.js';
import {type MembershipMessage, type OutgoingMessage} from './messages.js';
import {type MembershipOptions} from './options.js';

/** How often members are called; also how long a message travels. */
export const STEP_MS = 100;

/** A message on its way. */
export interface Envelope extends OutgoingMessage {
  fromAddress: string;
}

/** What a node of the network is started with. */
export interface NodeSetup {
  info: MemberInfo;
  seeds: string[];
  options?: Partial<MembershipOptions>;
}

/** Carries messages in a fixed order, one step at a time. */
export class InMemoryNetwork {
  nowMs = 0;
  /** Decides whether a message is lost; none is unless a test says so. */
  isLost: (envelope: Envelope) => boolean = () => false;
  /** Told of every message that is sent, lost ones included. */
  onSend: (envelope: Envelope) => void = () => {};
  private readonly nodes = new Map<string, Membership>();
  private readonly frozen = new Set<string>();
  private waiting: Envelope[] = [];

  /** @param nextSeed fixes the random choices of all nodes. */
  constructor(private nextSeed = 1) {}

  /** Starts a process; it replaces one at the same address. */
  start({info, seeds, options}: NodeSetup): Membership {
    const random = new SeededRandom(this.nextSeed++);
    const node = new Membership(info, options ?? {}, random);
    this.nodes.set(info.peerAddress, node);
    this.post(info.peerAddress, node.join(seeds, this.nowMs));
    return node;
  }

  /** Ends a process without a word. */
  kill(address: string): void {
    this.nodes.delete(address);
  }

  /** Stops a process from running; what it is sent waits for the thaw. */
  freeze(address: string): void {
    this.frozen.add(address);
  }

  /** As in an event loop, timers that are due run before sockets are read. */
  thaw(address: string): void {
    this.frozen.delete(address);
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
        if (!this.isLost(envelope)) this.waiting.push(envelope);
      });
  }

  /** Delivers what waits, then lets every node act. */
  step(): void {
    this.nowMs += STEP_MS;
    const due = this.waiting;
    this.waiting = due.filter(({toAddress}) => this.frozen.has(toAddress));
    due
      .filter(({toAddress}) => !this.frozen.has(toAddress))
      .forEach(envelope => this.deliver(envelope));
    [...this.nodes]
      .filter(([address]) => !this.frozen.has(address))
      .forEach(([address, node]) => this.post(address, node.tick(this.nowMs)));
  }

  run(durationMs: number): void {
    const stepCount = Math.ceil(durationMs / STEP_MS);
    Array.from({length: stepCount}).forEach(() => this.step());
  }

  /** Runs until it is so; returns how long that took, or null if it is not. */
  runUntil(isSo: () => boolean, limitMs: number): number | null {
    const startMs = this.nowMs;
    while (!isSo() && this.nowMs - startMs < limitMs) this.step();
    return isSo() ? this.nowMs - startMs : null;
  }

  /** Whether all nodes but the one itself give it the status. */
  isSeenAs(nodeName: string, status: MemberStatus | undefined): boolean {
    return this.listNodes().every(
      node => statusOf(node, nodeName) === status || isAt(node, nodeName),
    );
  }

  /** Whether any node gives it the status. */
  isSeenBySome(nodeName: string, status: MemberStatus): boolean {
    return this.listNodes().some(node => statusOf(node, nodeName) === status);
  }

  /** Whether every node lists every running one as alive, and no others. */
  isComplete(): boolean {
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

/** What a node believes of another. */
export function statusOf(
  node: Membership,
  nodeName: string,
): MemberStatus | undefined {
  return node.list().find(member => member.nodeName === nodeName)?.status;
}

function isAt(node: Membership, nodeName: string): boolean {
  return node.self.nodeName === nodeName;
}
