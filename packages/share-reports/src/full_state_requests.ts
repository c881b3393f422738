import {type EngineBoard} from '@mimosatack/engine-board';
import {type BackendServerId} from '@mimosatack/types';

/** Up to this many, every node keeps the full state of every engine. */
const MAX_ENGINES_KEPT = 64;
const MAX_PULLS_AT_ONCE = 4;
const RETRY_MS = 1_000;

interface Watch {
  untilMs: number;
}

/**
 * Selects the engines whose full state is requested from their stewards. A full
 * state is requested once after each change of the warm state: in small
 * deployments for all engines, otherwise only for watched ones.
 */
export class FullStateRequests {
  private readonly watches = new Map<BackendServerId, Watch>();
  private readonly requestedAtMs = new Map<BackendServerId, number>();

  constructor(private readonly board: EngineBoard) {}

  /** Keeps the full states up to date until `untilMs`. */
  watch(ids: readonly BackendServerId[], untilMs: number): void {
    ids.forEach(id => this.watches.set(id, {untilMs}));
  }

  /** Returns the engines to request now and marks them as requested. */
  takeDueRequests(
    ids: readonly BackendServerId[],
    nowMs: number,
  ): BackendServerId[] {
    [...this.watches]
      .filter(([, watch]) => watch.untilMs <= nowMs)
      .forEach(([id]) => this.watches.delete(id));
    const isSmall = ids.length <= MAX_ENGINES_KEPT;
    const due = ids
      .filter(id => isSmall || this.watches.has(id))
      .filter(id => this.board.find(id)?.isReachable)
      .filter(id => !this.board.isEngineCurrent(id))
      .filter(
        id => nowMs - (this.requestedAtMs.get(id) ?? -Infinity) >= RETRY_MS,
      )
      .slice(0, MAX_PULLS_AT_ONCE);
    due.forEach(id => this.requestedAtMs.set(id, nowMs));
    return due;
  }

  /** Marks a request as completed, so that the next one may start at once. */
  markCompleted(id: BackendServerId): void {
    this.requestedAtMs.delete(id);
  }
}
