/** Tracks pending probes of this node and those relayed for others. */

export interface PendingProbe {
  sequence: number;
  nodeName: string;
  /** Start of the probed process. */
  startedAtMs: number;
  targetAddress: string;
  phase: 'direct' | 'indirect';
  deadlineMs: number;
  /** Whether the probe checks a report that the target is gone. */
  verifiesGoneReport: boolean;
}

/** A probe sent on behalf of another node. */
export interface RelayedProbe {
  requesterAddress: string;
  requesterSequence: number;
  deadlineMs: number;
}

/** Limits the memory that probe requests of peers can take. */
const MAX_RELAYED_COUNT = 256;

/** Assigns sequence numbers and matches acknowledgements to probes. */
export class ProbeTracker {
  private readonly pending = new Map<number, PendingProbe>();
  private readonly relayed = new Map<number, RelayedProbe>();

  constructor(private nextSequence: number) {}

  isProbing(nodeName: string): boolean {
    return [...this.pending.values()].some(
      probe => probe.nodeName === nodeName,
    );
  }

  add(probe: Omit<PendingProbe, 'sequence' | 'phase'>): PendingProbe {
    const added: PendingProbe = {
      ...probe,
      sequence: this.nextSequence++,
      phase: 'direct',
    };
    this.pending.set(added.sequence, added);
    return added;
  }

  /** Returns the sequence number, or null if too many probes are relayed. */
  addRelayed(probe: RelayedProbe): number | null {
    if (this.relayed.size >= MAX_RELAYED_COUNT) return null;
    const sequence = this.nextSequence++;
    this.relayed.set(sequence, probe);
    return sequence;
  }

  takePending(sequence: number): PendingProbe | undefined {
    const probe = this.pending.get(sequence);
    this.pending.delete(sequence);
    return probe;
  }

  takeRelayed(sequence: number): RelayedProbe | undefined {
    const probe = this.relayed.get(sequence);
    this.relayed.delete(sequence);
    return probe;
  }

  listTimedOut(nowMs: number): PendingProbe[] {
    return [...this.pending.values()].filter(
      probe => probe.deadlineMs <= nowMs,
    );
  }

  dropExpiredRelayed(nowMs: number): void {
    [...this.relayed]
      .filter(([, probe]) => probe.deadlineMs <= nowMs)
      .forEach(([sequence]) => this.relayed.delete(sequence));
  }

  /** Drops the probes of this node; relayed ones stay. */
  clear(): void {
    this.pending.clear();
  }
}
