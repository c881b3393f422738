/** Decides which engines a node may send requests to. */
import {type AvailabilityReport} from '@mimosatack/track-availability';
import {type BackendServerId, compareIncarnations} from '@mimosatack/types';
import {EngineHealth} from './engine_health.js';
import {EnginePauses} from './engine_pauses.js';
import {type EngineView} from './engine_view.js';
import {type RunResult, type ScheduledRequest} from './scheduled_request.js';

/** Combines failures, pauses and limits of engines. */
export class EngineAccess {
  readonly pauses = new EnginePauses();
  private readonly health = new EngineHealth();

  /** Records the end of a request at an engine. */
  recordResult(
    engine: EngineView,
    {nodeId}: ScheduledRequest,
    result: RunResult,
    nowMs: number,
  ): void {
    this.health.record(engine.id, nodeId, result, nowMs);
    if (this.health.isLost(engine.id, nowMs)) engine.startCooldown(nowMs);
  }

  /** Records that an engine wants no requests of a node for some time. */
  recordPause(
    engine: EngineView,
    {startedAtMs, pauseMs}: AvailabilityReport,
    nodeId: string,
    nowMs: number,
  ): void {
    const order = compareIncarnations(startedAtMs, engine.startedAtMs);
    if (order === 'earlier' || pauseMs === 0) return;
    this.pauses.record(engine.id, nodeId, nowMs + pauseMs, nowMs);
  }

  /** The engines that the request may be sent to now, if possible unpaused ones. */
  listUsable(
    engines: readonly EngineView[],
    {nodeId}: ScheduledRequest,
    nowMs: number,
  ): readonly EngineView[] {
    const usable = engines.filter(
      ({id, limit}) =>
        this.health.isUsable(id, nodeId, nowMs) &&
        !this.pauses.isPaused(id, nodeId, nowMs) &&
        limit.findNextRequestMs(nowMs) <= nowMs,
    );
    return this.pauses.preferUnpaused(usable, nowMs);
  }

  remove(id: BackendServerId): void {
    this.health.remove(id);
    this.pauses.remove(id);
  }
}
