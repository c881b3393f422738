/** The nodes that have sent heartbeats lately. */
import {type Clock} from '@mimosatack/clock';

interface Seen {
  nodeName: string;
  incarnation: string;
  isServing: boolean;
  atMs: number;
}

/** A node that sent no heartbeat for this long is not offered to callers. */
const SERVING_MS = 900;
/** After this time it is forgotten. */
const FORGET_MS = 10_000;

/** Heartbeats by the address of the node. */
export class NodeRoster {
  private readonly seen = new Map<string, Seen>();

  constructor(private readonly clock: Clock) {}

  note(address: string, status: Omit<Seen, 'atMs'>): void {
    this.seen.set(address, {...status, atMs: this.clock.monotonicMs()});
  }

  /** Names of the nodes that callers may be sent to. */
  listServing(): string[] {
    const sinceMs = this.clock.monotonicMs() - SERVING_MS;
    return [...this.seen.values()]
      .filter(({isServing, atMs}) => isServing && atMs >= sinceMs)
      .map(({nodeName}) => nodeName);
  }

  listAddresses(): string[] {
    const sinceMs = this.clock.monotonicMs() - FORGET_MS;
    [...this.seen]
      .filter(([, {atMs}]) => atMs < sinceMs)
      .forEach(([address]) => this.seen.delete(address));
    return [...this.seen.keys()];
  }
}
