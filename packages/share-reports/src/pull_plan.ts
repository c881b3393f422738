/** Which engines' whole states are to be asked of their stewards. */
import {type EngineBoard} from '@mimosatack/engine-board';
import {type BackendServerId} from '@mimosatack/types';

/** Up to here every node keeps the whole state of every engine. */
const MAX_RUNNERS_KEPT = 64;
const MAX_PULLS_AT_ONCE = 4;
const RETRY_MS = 1_000;

interface Watch {
  untilMs: number;
}

/**
 * A whole state is asked for once after each change of the warm state: in
 * small deployments by every node, else only where somebody watches.
 */
export class PullPlan {
  private readonly watches = new Map<BackendServerId, Watch>();
  private readonly startedAtMs = new Map<BackendServerId, number>();

  constructor(private readonly board: EngineBoard) {}

  /** Keeps the whole states up to date until the time is over. */
  watch(ids: readonly BackendServerId[], untilMs: number): void {
    ids.forEach(id => this.watches.set(id, {untilMs}));
  }

  /** The engines to ask for now; each counts as asked for from then on. */
  takeDue(ids: readonly BackendServerId[], nowMs: number): BackendServerId[] {
    [...this.watches]
      .filter(([, watch]) => watch.untilMs <= nowMs)
      .forEach(([id]) => this.watches.delete(id));
    const isSmall = ids.length <= MAX_RUNNERS_KEPT;
    const due = ids
      .filter(id => isSmall || this.watches.has(id))
      .filter(id => this.board.find(id)?.isReachable)
      .filter(id => !this.board.isEngineCurrent(id))
      .filter(id => nowMs - (this.startedAtMs.get(id) ?? -Infinity) >= RETRY_MS)
      .slice(0, MAX_PULLS_AT_ONCE);
    due.forEach(id => this.startedAtMs.set(id, nowMs));
    return due;
  }

  /** The next change of the engine may be asked for at once. */
  noteDone(id: BackendServerId): void {
    this.startedAtMs.delete(id);
  }
}
