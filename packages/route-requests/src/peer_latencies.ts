/** Compares the latency of backend servers with that of their peers. */
import {type BackendServerId} from '@mimosatack/types';

const SMOOTHING = 0.2;
const MIN_SAMPLES = 5;
const SLOW_FACTOR = 4;
/** Added to the limit, so that small differences never count as slow. */
const MIN_SLOW_MARGIN_MS = 100;
/** Beyond this, the least recently used group is dropped. */
const MAX_GROUPS = 1_000;

interface Latency {
  meanMs: number;
  samples: number;
}

type Group = Map<BackendServerId, Latency>;

/** Mean time to first byte, by group of servers with comparable work. */
export class PeerLatencies {
  private readonly groups = new Map<string, Group>();

  /** Records a sample; returns whether the server is slow within its group. */
  record(group: string, id: BackendServerId, firstByteMs: number): boolean {
    const latencies = this.getOrCreateGroup(group);
    const previous = latencies.get(id);
    const latency = previous
      ? {
          meanMs: previous.meanMs + SMOOTHING * (firstByteMs - previous.meanMs),
          samples: previous.samples + 1,
        }
      : {meanMs: firstByteMs, samples: 1};
    latencies.set(id, latency);
    if (latency.samples < MIN_SAMPLES) return false;
    return latency.meanMs > this.findSlowLimitMs(group, id);
  }

  /** Limit above which a server is slow, in ms; Infinity without peers. */
  findSlowLimitMs(group: string, id: BackendServerId): number {
    const peerMeansMs = [...(this.groups.get(group) ?? [])]
      .filter(([other, {samples}]) => other !== id && samples >= MIN_SAMPLES)
      .map(([, {meanMs}]) => meanMs)
      .sort((a, b) => a - b);
    const medianMs = peerMeansMs[peerMeansMs.length >> 1];
    return medianMs === undefined
      ? Infinity
      : MIN_SLOW_MARGIN_MS + SLOW_FACTOR * medianMs;
  }

  /** Drops the samples of a server. */
  forget(id: BackendServerId): void {
    this.groups.forEach(group => group.delete(id));
  }

  private getOrCreateGroup(name: string): Group {
    const existing = this.groups.get(name);
    const group: Group = existing ?? new Map<BackendServerId, Latency>();
    if (existing) this.groups.delete(name);
    this.groups.set(name, group);
    if (this.groups.size > MAX_GROUPS) {
      const [oldest] = this.groups.keys();
      if (oldest !== undefined) this.groups.delete(oldest);
    }
    return group;
  }
}
