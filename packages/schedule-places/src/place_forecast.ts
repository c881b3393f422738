/** Forecasts when requests for places start, to refuse on arrival what would start too late. */
import {
  type Forecast,
  type ForecastServer,
  StartForecast,
} from '@mimosatack/share-capacity';
import {type TeamName} from '@mimosatack/types';
import {type PlaceRequest, type RefusalForecast} from './place_request.js';

/** The requests of one service run on the same servers. */
const GROUP = 'service';
/** Stands for a start that is not in sight, which JSON has no number for. */
const MAX_STARTS_IN_MS = 60_000;

interface Admitted {
  forecast: Forecast;
  atMs: number;
}

export interface LateStart extends RefusalForecast {
  retryAfterMs: number;
}

export class PlaceForecast {
  private readonly forecast = new StartForecast();
  /** Forecasts of waiting requests. */
  private readonly admitted = new Map<string, Admitted>();

  setWeights(weights: ReadonlyMap<TeamName, number>): void {
    this.forecast.setWeights(weights);
  }

  /**
   * Returns the forecast of a request that cannot start in time; null if it may wait.
   *
   * @param aheadCost of the waiting requests of the same team and priority.
   */
  admit(
    request: PlaceRequest,
    servers: readonly ForecastServer[],
    aheadCost: number,
    nowMs: number,
  ): LateStart | null {
    this.forecast.recordArrival([GROUP], request, nowMs);
    const scope = {servers, groups: [GROUP], aheadCost};
    const pool = {group: GROUP, readyAtMs: nowMs, scopes: [scope]};
    const found = this.forecast.find(request, pool, nowMs);
    if (!found) return null;
    // A retry past its time to wait may still start at once.
    if (found.startsAtMs <= Math.max(nowMs, request.waitDeadlineAtMs)) {
      this.admitted.set(request.id, {forecast: found, atMs: nowMs});
      return null;
    }
    return {
      ...describe(found, nowMs),
      retryAfterMs: this.forecast.findRetryAfterMs(
        request,
        GROUP,
        found,
        nowMs,
      ),
    };
  }

  /** The forecast of a request that has waited in vain; null if it has none. */
  findAdmitted({id}: PlaceRequest, nowMs: number): RefusalForecast | null {
    const known = this.admitted.get(id);
    return known ? describe(known.forecast, nowMs) : null;
  }

  /** Compares the wait of a request that no longer waits with its forecast. */
  recordWait(request: PlaceRequest, hasStarted: boolean, nowMs: number): void {
    const known = this.admitted.get(request.id);
    if (!known) return;
    this.admitted.delete(request.id);
    const waitedMs = nowMs - known.atMs;
    this.forecast.recordWait(
      ...([request, GROUP, known.forecast] as const),
      ...([waitedMs, hasStarted, nowMs] as const),
    );
  }

  recordHeld(
    serverId: string,
    {cost}: PlaceRequest,
    heldMs: number,
    nowMs: number,
  ): void {
    this.forecast.recordHeld(serverId, cost, heldMs, nowMs);
  }

  removeServer(serverId: string): void {
    this.forecast.removeServer(serverId);
  }

  forget(askId: string): void {
    this.admitted.delete(askId);
  }
}

function describe(
  {startsAtMs, teamShare, dataAgeMs}: Forecast,
  nowMs: number,
): RefusalForecast {
  const startsInMs = Math.min(MAX_STARTS_IN_MS, startsAtMs - nowMs);
  return {startsInMs, teamShare, dataAgeMs};
}
