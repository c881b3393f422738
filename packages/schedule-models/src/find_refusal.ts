/** Which requests are not worth waiting on, and when to come back. */
import {type EngineView} from './engine_view.js';
import {type ModelCatalogue} from './model_catalogue.js';
import {
  type RefusalReason,
  type ScheduledRequest,
} from './scheduled_request.js';

/** What a refusal is decided by. */
export interface RefusalContext {
  nowMs: number;
  catalogue: ModelCatalogue;
  engines: readonly EngineView[];
}

/** Why and until when. */
export interface Refusal {
  reason: RefusalReason;
  retryAfterMs: number;
}

const UNKNOWN_RETRY_MS = 2_000;
/** A request that was not served by then is refused; see `findWaitEndMs`. */
const WAIT_PAST_DUE = 1;
const NO_ROOM_RETRY_MS = 1_000;

/** Null while the request may still be served in time. */
export function findRefusal(
  request: ScheduledRequest,
  {nowMs, catalogue, engines}: RefusalContext,
): Refusal | null {
  const {service, model, adapter} = request;
  if (!catalogue.has(service, model, adapter)) {
    return {reason: 'unknown-model', retryAfterMs: UNKNOWN_RETRY_MS};
  }
  if (!engines.some(engine => isNear(engine, request))) {
    const storeLoadMs = catalogue.findModel(service, model)?.storeLoadMs ?? 0;
    return {reason: 'weights-remote', retryAfterMs: storeLoadMs};
  }
  if (nowMs >= findWaitEndMs(request)) {
    return {reason: 'no-room', retryAfterMs: NO_ROOM_RETRY_MS};
  }
  return null;
}

/** Twice the time in which an answer is on time, and never past the end. */
export function findWaitEndMs(request: ScheduledRequest): number {
  const {arrivedAtMs, dueAtMs, endsAtMs} = request;
  return Math.min(endsAtMs, dueAtMs + WAIT_PAST_DUE * (dueAtMs - arrivedAtMs));
}

/** Whether the engine holds the model or can load it from its own copies. */
function isNear(engine: EngineView, request: ScheduledRequest): boolean {
  return (
    engine.isOpen &&
    engine.entry.service === request.service &&
    !request.excluded.has(engine.id) &&
    (engine.residents.has(request.model) ||
      engine.swap?.model === request.model ||
      engine.findTier(request.model) !== 'store')
  );
}
