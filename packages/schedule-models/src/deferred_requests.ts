/** Requests that are deferred although an engine holds what they need. */
import {
  type FindCompletionMs,
  type IsContinuable,
  pickEngine,
} from './choose_engine.js';
import {type EngineView} from './engine_view.js';
import {type ScheduledRequest} from './scheduled_request.js';

/**
 * Maximum deferral of a request, long enough for a batch of eight long prompts.
 * On an overloaded engine streams stall anyway, so a longer delay has no
 * benefit.
 */
const MAX_DEFERRAL_MS = 900;

/** Defers requests until the engine has read the prompts sent before. */
export class DeferredRequests {
  private readonly deferredSinceMs = new Map<string, number>();

  get isEmpty(): boolean {
    return this.deferredSinceMs.size === 0;
  }

  has({askId}: ScheduledRequest): boolean {
    return this.deferredSinceMs.has(askId);
  }

  remove(askId: string): void {
    this.deferredSinceMs.delete(askId);
  }

  /**
   * The engine to send the request to; undefined while the request is deferred.
   *
   * @param engines that hold what the request needs and have a free slot.
   */
  pickEngine(
    request: ScheduledRequest,
    engines: readonly EngineView[],
    nowMs: number,
    isContinuable: IsContinuable,
    findCompletionMs?: FindCompletionMs,
  ): EngineView | undefined {
    const sinceMs = this.deferredSinceMs.get(request.askId) ?? nowMs;
    const isOverdue = nowMs - sinceMs >= MAX_DEFERRAL_MS;
    if (isOverdue) {
      return pickEngine(engines, isContinuable, findCompletionMs);
    }
    if (engines.length > 0) this.deferredSinceMs.set(request.askId, sinceMs);
    return pickEngine(
      engines.filter(engine => engine.hasPrefillCapacity(request, nowMs)),
      isContinuable,
      findCompletionMs,
    );
  }
}
