/** Requests that wait though an engine holds what they need. */
import {pickEngine} from './choose_engine.js';
import {type EngineView} from './engine_view.js';
import {type ScheduledRequest} from './scheduled_request.js';

/**
 * How long a request is held back at most: a batch of eight long prompts is read
 * within it. Where more comes than an engine can read for, streams pause
 * anyway, and a request that waits on serves nobody.
 */
const MAX_HELD_BACK_MS = 900;

/** Holds requests back until other prompts are read. */
export class HeldBack {
  private readonly sinceMs = new Map<string, number>();

  get isEmpty(): boolean {
    return this.sinceMs.size === 0;
  }

  has({askId}: ScheduledRequest): boolean {
    return this.sinceMs.has(askId);
  }

  forget(askId: string): void {
    this.sinceMs.delete(askId);
  }

  /**
   * The engine to send to now; undefined while the request is held back.
   *
   * @param engines that hold what it needs and have a place for it.
   */
  pickEngine(
    request: ScheduledRequest,
    engines: readonly EngineView[],
    nowMs: number,
  ): EngineView | undefined {
    const sinceMs = this.sinceMs.get(request.askId) ?? nowMs;
    if (nowMs - sinceMs >= MAX_HELD_BACK_MS) return pickEngine(engines);
    if (engines.length > 0) this.sinceMs.set(request.askId, sinceMs);
    return pickEngine(engines.filter(engine => engine.mayRead(request, nowMs)));
  }
}
