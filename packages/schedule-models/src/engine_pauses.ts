/** Tracks until when engines want no requests of which nodes. */
import {type BackendServerId} from '@mimosatack/types';

/** All times are monotonic times of one process. */
export class EnginePauses {
  /** Ends of pauses by engine and node. */
  private readonly endsMs = new Map<BackendServerId, Map<string, number>>();

  record(
    id: BackendServerId,
    nodeId: string,
    endsAtMs: number,
    nowMs: number,
  ): void {
    const known = this.endsMs.get(id) ?? new Map<string, number>();
    this.endsMs.set(id, known);
    // Bounds the memory, since nodes come and go.
    [...known]
      .filter(([, endMs]) => endMs <= nowMs)
      .forEach(([ended]) => known.delete(ended));
    known.set(nodeId, Math.max(endsAtMs, known.get(nodeId) ?? 0));
  }

  /** When the engine takes requests of the node; `nowMs` if it does now. */
  findEndMs(id: BackendServerId, nodeId: string, nowMs: number): number {
    return Math.max(nowMs, this.endsMs.get(id)?.get(nodeId) ?? nowMs);
  }

  isPaused(id: BackendServerId, nodeId: string, nowMs: number): boolean {
    return this.findEndMs(id, nodeId, nowMs) > nowMs;
  }

  /** Whether the engine is paused for at least one node. */
  isPausedForAny(id: BackendServerId, nowMs: number): boolean {
    const ends = [...(this.endsMs.get(id)?.values() ?? [])];
    return ends.some(endMs => endMs > nowMs);
  }

  /**
   * The engines that are paused for no node, or all if there is none. Guards against
   * each node learning by a rejected request what another was told.
   */
  preferUnpaused<T extends {id: BackendServerId}>(
    engines: readonly T[],
    nowMs: number,
  ): readonly T[] {
    if (this.endsMs.size === 0) return engines;
    const unpaused = engines.filter(({id}) => !this.isPausedForAny(id, nowMs));
    return unpaused.length > 0 ? unpaused : engines;
  }

  /** Whether a pause of one of the engines for the node ends before a time. */
  endsBefore(
    untilMs: number,
    engines: ReadonlyArray<{id: BackendServerId}>,
    nodeId: string,
    nowMs: number,
  ): boolean {
    return engines
      .map(({id}) => this.findEndMs(id, nodeId, nowMs))
      .some(endMs => endMs > nowMs && endMs < untilMs);
  }

  /** Ends of pauses that are still to come. */
  listEndsMs(nowMs: number): number[] {
    return [...this.endsMs.values()]
      .flatMap(ends => [...ends.values()])
      .filter(endMs => endMs > nowMs);
  }

  remove(id: BackendServerId): void {
    this.endsMs.delete(id);
  }
}
