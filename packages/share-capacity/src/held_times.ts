/** How long requests hold the places of servers. */

/** Older observations say nothing about the load of now. */
export const MAX_DATA_AGE_MS = 10_000;
/** In this time, the mean of some requests changes little. */
const COMPUTED_TTL_MS = 50;
/** Weight of one request in the moving average. */
const SMOOTHING = 0.1;

interface HeldTime {
  /** Mean time that a place is held for one unit of cost. */
  msPerCost: number;
  observedAtMs: number;
}

/** A server and the number of requests that it runs at once. */
export interface ForecastServer {
  id: string;
  places: number;
}

/** What a pool of servers completes. */
export interface Throughput {
  costPerMs: number;
  /** Age of the newest observation. */
  ageMs: number;
}

export class HeldTimes {
  private readonly servers = new Map<string, HeldTime>();
  private newestMs = -Infinity;
  private readonly computed = new WeakMap<
    readonly ForecastServer[],
    {throughput: Throughput | null; atMs: number}
  >();

  record(serverId: string, cost: number, heldMs: number, nowMs: number): void {
    if (cost <= 0 || heldMs <= 0) return;
    this.newestMs = nowMs;
    const sample = heldMs / cost;
    const before = this.findRecent(serverId, nowMs)?.msPerCost ?? sample;
    this.servers.set(serverId, {
      msPerCost: before + SMOOTHING * (sample - before),
      observedAtMs: nowMs,
    });
  }

  remove(serverId: string): void {
    this.servers.delete(serverId);
  }

  hasRecent(nowMs: number): boolean {
    return nowMs - this.newestMs <= MAX_DATA_AGE_MS;
  }

  /** Kept for some decisions, since its cost grows with the number of servers. */
  findThroughput(
    pool: readonly ForecastServer[],
    nowMs: number,
  ): Throughput | null {
    const known = this.computed.get(pool);
    if (known && nowMs - known.atMs < COMPUTED_TTL_MS) return known.throughput;
    const throughput = this.computeThroughput(pool, nowMs);
    this.computed.set(pool, {throughput, atMs: nowMs});
    return throughput;
  }

  /**
   * By Little's law: the number of places divided by the time that one is held. A server
   * without recent observations counts as the mean of the others; null if none has any.
   */
  private computeThroughput(
    pool: readonly ForecastServer[],
    nowMs: number,
  ): Throughput | null {
    const known = pool.flatMap(({id}) => this.findRecent(id, nowMs) ?? []);
    if (known.length === 0) return null;
    const total = known.reduce((sum, {msPerCost}) => sum + msPerCost, 0);
    const meanMsPerCost = total / known.length;
    const costPerMs = pool.reduce((sum, {id, places}) => {
      const {msPerCost} = this.findRecent(id, nowMs) ?? {};
      return sum + places / (msPerCost ?? meanMsPerCost);
    }, 0);
    const newestMs = Math.max(...known.map(({observedAtMs}) => observedAtMs));
    return {costPerMs, ageMs: nowMs - newestMs};
  }

  private findRecent(serverId: string, nowMs: number): HeldTime | undefined {
    const held = this.servers.get(serverId);
    const isRecent = held && nowMs - held.observedAtMs <= MAX_DATA_AGE_MS;
    return isRecent ? held : undefined;
  }
}
