/** Refuses requests on arrival that would start too late by the shares of teams. */
import {type Forecast, StartForecast} from '@mimosatack/share-capacity';
import {
  type BackendServerId,
  type ModelName,
  type ServiceName,
  type TeamName,
} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';
import {type Refusal, findWaitDeadlineMs} from './find_refusal.js';
import {toModelKey} from './model_key.js';
import {
  type RunResult,
  type ScheduledRequest,
  type ShareCharge,
  type ShareRefusal,
  isEngineAllowed,
} from './scheduled_request.js';
import {type RequestItem, toItem} from './waiting_requests.js';

export interface EngineForecastContext {
  nowMs: number;
  /** Waiting requests in the order in which they get capacity. */
  inOrder: readonly ScheduledRequest[];
  /** Engines that hold the model or have a pending load of it. */
  listHolders: (
    service: ServiceName,
    model: ModelName,
  ) => readonly EngineView[];
}

interface ForecastRefusal {
  request: ScheduledRequest;
  refusal: Refusal;
}

/** Has no effect until shares are set. */
export class EngineForecast {
  /** Null while requests go by urgency alone. */
  private forecast: StartForecast | null = null;
  /** Waiting requests that have not been checked. */
  private readonly arrived = new Map<string, RequestItem>();
  /** Forecasts of waiting requests. */
  private readonly admitted = new Map<string, Forecast>();
  /** Start times of runs, by engine and ask id. */
  private readonly startsMs = new Map<BackendServerId, Map<string, number>>();

  setShares(weights: ReadonlyMap<TeamName, number> | null): void {
    if (!weights) {
      this.forecast = null;
      [this.arrived, this.admitted, this.startsMs].forEach(map => map.clear());
      return;
    }
    this.forecast ??= new StartForecast();
    this.forecast.setWeights(weights);
  }

  recordArrival(request: ScheduledRequest, nowMs: number): void {
    if (!this.forecast || this.admitted.has(request.askId)) return;
    const item = toItem(request);
    const group = toModelKey(request.service, request.model);
    this.forecast.recordArrival(group, item, nowMs);
    this.arrived.set(request.askId, item);
  }

  recordStart(
    request: ScheduledRequest,
    engineId: BackendServerId,
    nowMs: number,
  ): void {
    if (!this.forecast) return;
    const starts = this.startsMs.get(engineId) ?? new Map<string, number>();
    this.startsMs.set(engineId, starts);
    starts.set(request.askId, nowMs);
    this.recordWait(request, true, nowMs);
    this.forget(request.askId);
  }

  /**
   * Returns what the request has used of its team's share; null if it was not served. Only
   * complete responses tell how long a request holds its place.
   */
  recordEnd(
    request: ScheduledRequest,
    engineId: BackendServerId,
    result: RunResult,
    nowMs: number,
  ): ShareCharge | null {
    const starts = this.startsMs.get(engineId);
    const startedAtMs = starts?.get(request.askId);
    starts?.delete(request.askId);
    if (!this.forecast || result !== 'served') return null;
    const {team} = request;
    const {cost} = toItem(request);
    if (startedAtMs !== undefined) {
      this.forecast.recordHeld(engineId, cost, nowMs - startedAtMs, nowMs);
    }
    return {team, cost};
  }

  /** Records a request that was refused although it had been admitted. */
  recordRefused(request: ScheduledRequest, nowMs: number): void {
    this.recordWait(request, false, nowMs);
    this.forget(request.askId);
  }

  /** The part of a decision to refuse that concerns shares. */
  describeRefusal(
    request: ScheduledRequest,
    {reason, forecast}: Refusal,
  ): {share?: ShareRefusal} {
    if (!this.forecast || reason !== 'no-room') return {};
    const {team} = request;
    const {cost} = toItem(request);
    return {share: {team, cost, forecast: forecast ?? null}};
  }

  /** Called for requests that no longer wait. */
  forget(askId: string): void {
    this.arrived.delete(askId);
    this.admitted.delete(askId);
  }

  removeEngine(id: BackendServerId): void {
    this.startsMs.delete(id);
    this.forecast?.removeServer(id);
  }

  /** Checks each request once, on its arrival if there is data, and returns those to refuse. */
  listRefusals(context: EngineForecastContext): ForecastRefusal[] {
    const {forecast} = this;
    if (!forecast || this.arrived.size === 0) return [];
    const {nowMs, inOrder} = context;
    return inOrder.flatMap((request, position) => {
      const item = this.arrived.get(request.askId);
      if (!item) return [];
      const found = this.find(item, inOrder.slice(0, position), context);
      // Checked again once there is data, such as after a change of the scheduling node.
      if (!found) return [];
      this.arrived.delete(request.askId);
      if (found.startsAtMs <= findWaitDeadlineMs(request)) {
        this.admitted.set(request.askId, found);
        return [];
      }
      const retryAfterMs = forecast.findRetryAfterMs(item, found, nowMs);
      return [{request, refusal: makeRefusal(found, retryAfterMs, nowMs)}];
    });
  }

  private find(
    item: RequestItem,
    ahead: readonly ScheduledRequest[],
    {nowMs, listHolders}: EngineForecastContext,
  ): Forecast | null {
    const {request} = item;
    const listAvailable = (model: ModelName) =>
      listHolders(request.service, model).filter(engine =>
        engine.acceptsWorkAt(nowMs),
      );
    const pool = new Set(
      listAvailable(request.model).filter(({entry}) =>
        isEngineAllowed(request, entry),
      ),
    );
    const engines = [...pool];
    if (engines.length === 0) return null;
    const models = new Set(
      engines.flatMap(engine => engine.listResidentAndPending()),
    );
    const overlaps = new Map(
      [...models].map(model => {
        const holders = listAvailable(model);
        const shared = holders.filter(engine => pool.has(engine)).length;
        return [model, shared / Math.max(1, holders.length)];
      }),
    );
    const aheadCost = ahead
      .filter(other => isSameClass(other, request))
      .reduce(
        (sum, other) =>
          sum + toItem(other).cost * (overlaps.get(other.model) ?? 0),
        0,
      );
    return (
      this.forecast?.find(
        item,
        {
          servers: engines.map(engine => ({
            ...{id: engine.id, places: engine.countPlacesFor(request)},
          })),
          readyAtMs: Math.min(
            ...engines.map(one => one.findReadyAtMs(request.model, nowMs)),
          ),
          overlaps: new Map(
            [...overlaps].map(([model, overlap]) => [
              toModelKey(request.service, model),
              overlap,
            ]),
          ),
          aheadCost,
        },
        nowMs,
      ) ?? null
    );
  }

  private recordWait(
    request: ScheduledRequest,
    hasStarted: boolean,
    nowMs: number,
  ): void {
    const forecast = this.admitted.get(request.askId);
    if (!forecast) return;
    const waitedMs = nowMs - request.arrivedAtMs;
    this.forecast?.recordWait(
      ...([toItem(request), forecast, waitedMs, hasStarted, nowMs] as const),
    );
  }
}

function isSameClass(a: ScheduledRequest, b: ScheduledRequest): boolean {
  return (
    a.service === b.service && a.team === b.team && a.priority === b.priority
  );
}

function makeRefusal(
  {startsAtMs, teamShare, dataAgeMs}: Forecast,
  retryAfterMs: number,
  nowMs: number,
): Refusal {
  return {
    ...{reason: 'no-room', retryAfterMs},
    forecast: {teamShare, dataAgeMs, startsInMs: startsAtMs - nowMs},
  };
}
