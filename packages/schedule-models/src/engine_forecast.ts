/** Refuses requests on arrival that would start too late by the shares of teams. */
import {
  type Forecast,
  type ForecastServer,
  StartForecast,
} from '@mimosatack/share-capacity';
import {
  type BackendServerId,
  type ModelName,
  type ServiceName,
  type TeamName,
} from '@mimosatack/types';
import {AheadCosts} from './ahead_costs.js';
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
  /** Engines of the service that accept work. */
  listEngines: (service: ServiceName) => readonly EngineView[];
}

interface ForecastRefusal {
  request: ScheduledRequest;
  refusal: Refusal;
}

/** Short beside the time in which engines come and go. */
const SERVERS_TTL_MS = 50;

interface Check {
  item: RequestItem;
  atMs: number;
}

/** Has no effect until shares are set. */
export class EngineForecast {
  /** Null while requests go by urgency alone. */
  private forecast: StartForecast | null = null;
  /** When waiting requests are checked: on arrival, and once more when they are late. */
  private readonly checks = new Map<string, Check>();
  /** Forecasts of waiting requests. */
  private readonly admitted = new Map<string, Forecast>();
  private readonly serviceServers = new Map<
    ServiceName,
    {servers: readonly ForecastServer[]; atMs: number}
  >();
  /** Start times of runs, by engine and ask id. */
  private readonly startsMs = new Map<BackendServerId, Map<string, number>>();

  setShares(weights: ReadonlyMap<TeamName, number> | null): void {
    if (!weights) {
      this.forecast = null;
      [this.checks, this.admitted, this.startsMs].forEach(map => map.clear());
      return;
    }
    this.forecast ??= new StartForecast();
    this.forecast.setWeights(weights);
  }

  recordArrival(request: ScheduledRequest, nowMs: number): void {
    if (!this.forecast || this.admitted.has(request.askId)) return;
    const item = toItem(request);
    const {service, model} = request;
    const groups = [toModelKey(service, model), service];
    this.forecast.recordArrival(groups, item, nowMs);
    this.checks.set(request.askId, {item, atMs: nowMs});
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
    this.recordWait(request, nowMs, true, nowMs);
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

  /**
   * Records a request that was refused although it had been admitted. It would have waited until
   * its deadline at least.
   */
  recordRefused(request: ScheduledRequest, nowMs: number): void {
    const waitEndMs = findWaitDeadlineMs(request);
    this.recordWait(request, Math.max(nowMs, waitEndMs), false, nowMs);
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
    this.checks.delete(askId);
    this.admitted.delete(askId);
  }

  removeEngine(id: BackendServerId): void {
    this.startsMs.delete(id);
    this.serviceServers.clear();
    this.forecast?.removeServer(id);
  }

  /**
   * Returns the requests to refuse. Each is checked on its arrival, if there is data, and when it
   * can no longer be on time, since it then waits behind all of its team that can.
   */
  listRefusals(context: EngineForecastContext): ForecastRefusal[] {
    const {forecast} = this;
    if (!forecast || this.checks.size === 0) return [];
    const {nowMs, inOrder} = context;
    if (!forecast.hasData(nowMs)) return [];
    const ahead = new AheadCosts();
    return inOrder.flatMap(request => {
      const found = this.check(request, ahead, context);
      if (!found || found.startsAtMs <= findWaitDeadlineMs(request)) {
        ahead.add(request);
        return [];
      }
      const item = toItem(request);
      const retryAfterMs = forecast.findRetryAfterMs(
        item,
        toModelKey(request.service, request.model),
        found,
        nowMs,
      );
      return [{request, refusal: makeRefusal(found, retryAfterMs, nowMs)}];
    });
  }

  /** Null if no check is due, or without data; the request is checked again then. */
  private check(
    request: ScheduledRequest,
    ahead: AheadCosts,
    context: EngineForecastContext,
  ): Forecast | null {
    const {nowMs} = context;
    const {item, atMs} = this.checks.get(request.askId) ?? {atMs: Infinity};
    if (!item || atMs > nowMs) return null;
    const found = this.find(item, ahead, context);
    if (!found) return null;
    this.checks.delete(request.askId);
    if (found.startsAtMs <= findWaitDeadlineMs(request)) {
      this.admit(item, found, nowMs);
    }
    return found;
  }

  private admit(item: RequestItem, found: Forecast, nowMs: number): void {
    const {id, dueAtMs} = item;
    if (!this.admitted.has(id)) this.admitted.set(id, found);
    if (dueAtMs > nowMs) this.checks.set(id, {item, atMs: dueAtMs});
  }

  private find(
    item: RequestItem,
    ahead: AheadCosts,
    context: EngineForecastContext,
  ): Forecast | null {
    const {nowMs} = context;
    const {service, model} = item.request;
    const holders = listAvailable(item.request, context).filter(({entry}) =>
      isEngineAllowed(item.request, entry),
    );
    if (holders.length === 0) return null;
    const readyAtMs = Math.min(
      ...holders.map(engine => engine.findReadyAtMs(model, nowMs)),
    );
    const pool = new Set(holders);
    const others = [
      ...new Set(holders.flatMap(engine => engine.listResidentAndPending())),
    ];
    // Requests for other models that also run elsewhere make room for those that do not.
    const bound = others.filter(
      other =>
        other === model ||
        listAvailable({service, model: other}, context).every(engine =>
          pool.has(engine),
        ),
    );
    const scopes = [
      {
        servers: holders.map(engine => ({
          ...{id: engine.id, places: engine.countPlacesFor(item.request)},
        })),
        groups: bound.map(other => toModelKey(service, other)),
        aheadCost: ahead.sum(item.request, bound),
      },
      {
        servers: this.listServiceServers(service, context),
        groups: [service],
        aheadCost: ahead.sum(item.request, others),
      },
    ];
    return (
      this.forecast?.find(
        item,
        {group: toModelKey(service, model), readyAtMs, scopes},
        nowMs,
      ) ?? null
    );
  }

  /** Kept for some decisions, since its cost grows with the number of engines. */
  private listServiceServers(
    service: ServiceName,
    {listEngines, nowMs}: EngineForecastContext,
  ): readonly ForecastServer[] {
    const known = this.serviceServers.get(service);
    if (known && nowMs - known.atMs < SERVERS_TTL_MS) return known.servers;
    const servers = listEngines(service).map(({id, spec}) => ({
      ...{id, places: spec.slots},
    }));
    this.serviceServers.set(service, {servers, atMs: nowMs});
    return servers;
  }

  private recordWait(
    request: ScheduledRequest,
    waitEndMs: number,
    hasStarted: boolean,
    nowMs: number,
  ): void {
    const forecast = this.admitted.get(request.askId);
    if (!forecast) return;
    const group = toModelKey(request.service, request.model);
    const waitedMs = waitEndMs - request.arrivedAtMs;
    this.forecast?.recordWait(
      ...([
        toItem(request),
        group,
        forecast,
        waitedMs,
        hasStarted,
        nowMs,
      ] as const),
    );
  }
}

function listAvailable(
  {service, model}: Pick<ScheduledRequest, 'service' | 'model'>,
  {listHolders, nowMs}: EngineForecastContext,
): EngineView[] {
  return listHolders(service, model).filter(engine =>
    engine.acceptsWorkAt(nowMs),
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
