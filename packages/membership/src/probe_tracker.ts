/** Probes that wait for their answer, and those made for other nodes. */

/** A probe of this node that was not answered yet. */
export interface PendingProbe {
  sequence: number;
  nodeName: string;
  /** The life that was probed. */
  startedAtMs: number;
  targetAddress: string;
  phase: 'direct' | 'indirect';
  /** When the phase ends without an answer. */
  deadlineMs: number;
  /** Whether others said that the target is gone. */
  isDoubted: boolean;
}

/** A probe made because another node asked for it. */
export interface RelayedProbe {
  requesterAddress: string;
  requesterSequence: number;
  deadlineMs: number;
}

/** Bounds what peers that ask for probes can make this node keep. */
const MAX_RELAYED_COUNT = 256;

/** Numbers the probes and finds their answers. */
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

  /** Returns the number of the new probe, or null if there are too many. */
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

  /** Probes whose phase ended without an answer. */
  listOverdue(nowMs: number): PendingProbe[] {
    return [...this.pending.values()].filter(
      probe => probe.deadlineMs <= nowMs,
    );
  }

  dropRelayed(nowMs: number): void {
    [...this.relayed]
      .filter(([, probe]) => probe.deadlineMs <= nowMs)
      .forEach(([sequence]) => this.relayed.delete(sequence));
  }

  /** Forgets all probes of this node. */
  clear(): void {
    this.pending.clear();
  }
}
