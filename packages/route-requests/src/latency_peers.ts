/** Compares how fast backend servers answer with others that do the same. */
import {type BackendServerId} from '@mimosatack/types';

const SMOOTHING = 0.2;
const MIN_SAMPLES = 5;
const SLOW_FACTOR = 4;
/** Differences below this are never called slow. */
const SLOW_FLOOR_MS = 100;
/** Groups kept; the one heard of longest ago goes first. */
const MAX_GROUPS = 1_000;

interface Latency {
  meanMs: number;
  samples: number;
}

type Group = Map<BackendServerId, Latency>;

/** Times to the first byte, by group of servers with the same work. */
export class LatencyPeers {
  private readonly groups = new Map<string, Group>();

  /** Takes a sample; returns whether the server is now slow for its group. */
  note(group: string, id: BackendServerId, firstByteMs: number): boolean {
    const latencies = this.openGroup(group);
    const known = latencies.get(id);
    const latency = known
      ? {
          meanMs: known.meanMs + SMOOTHING * (firstByteMs - known.meanMs),
          samples: known.samples + 1,
        }
      : {meanMs: firstByteMs, samples: 1};
    latencies.set(id, latency);
    if (latency.samples < MIN_SAMPLES) return false;
    return latency.meanMs > this.slowLimitMs(group, id);
  }

  /** Above this a server is slow; infinite while there is nothing to compare. */
  slowLimitMs(group: string, id: BackendServerId): number {
    const peerMeansMs = [...(this.groups.get(group) ?? [])]
      .filter(([other, {samples}]) => other !== id && samples >= MIN_SAMPLES)
      .map(([, {meanMs}]) => meanMs)
      .sort((a, b) => a - b);
    const medianMs = peerMeansMs[peerMeansMs.length >> 1];
    return medianMs === undefined
      ? Infinity
      : SLOW_FLOOR_MS + SLOW_FACTOR * medianMs;
  }

  /** Forgets a server, so that it is judged anew. */
  forget(id: BackendServerId): void {
    this.groups.forEach(group => group.delete(id));
  }

  private openGroup(name: string): Group {
    const known = this.groups.get(name);
    const group: Group = known ?? new Map<BackendServerId, Latency>();
    if (known) this.groups.delete(name);
    this.groups.set(name, group);
    if (this.groups.size > MAX_GROUPS) {
      const [oldest] = this.groups.keys();
      if (oldest !== undefined) this.groups.delete(oldest);
    }
    return group;
  }
}
