/** Forecasts when a waiting item starts, to refuse on arrival what would start too late. */
import {type TeamName} from '@mimosatack/types';
import {findClassRate} from './fair_rate.js';
import {type ForecastServer, HeldTimes} from './held_times.js';
import {RetryTimes} from './retry_times.js';
import {type ShareItem} from './share_item.js';
import {TeamDemand} from './team_demand.js';
import {WaitCorrection} from './wait_correction.js';

/** Servers, and the requests that only these servers run. */
export interface ForecastScope {
  servers: readonly ForecastServer[];
  /** The groups of requests that compete for the servers. */
  groups: readonly string[];
  /** Cost of the waiting items of the same team and priority that start there before the item. */
  aheadCost: number;
}

/** The capacity that an item competes for. */
export interface ForecastPool {
  /** The requests that compete for the same places, such as those for one model. */
  group: string;
  /** When the first server takes requests. */
  readyAtMs: number;
  /**
   * The servers that can run the item; and larger sets, if other requests may run on some of
   * these servers and on others. The latest start counts.
   */
  scopes: readonly ForecastScope[];
}

export interface Forecast {
  /** Infinite if it never starts while its team asks for as much as now. */
  startsAtMs: number;
  /** The forecast wait without correction. */
  queuedMs: number;
  /** Time in which there is capacity for one such item. */
  intervalMs: number;
  /** The share of the pool that the team gets. */
  teamShare: number;
  /** Age of the newest observation behind the forecast. */
  dataAgeMs: number;
}

/**
 * Waits differ from forecasts by about this factor. An item that is forecast to start just in time
 * would often be late, and then wait behind all others of its team.
 */
const LATE_MARGIN = 1.2;
/**
 * Demand over capacity at which late items count as never started. At less, such as after one
 * batch of requests, many late items still start before their callers leave.
 */
const OVERLOAD_FACTOR = 1.5;

/**
 * Answers a load in which a team asks for more than its share for longer than callers wait: its
 * requests would wait for most of their time and be refused then. Takes the rate at which
 * the team's requests of a priority start (Little's law for the pool, max-min fairness between
 * teams, the more urgent priorities first) and the waiting cost ahead.
 */
export class StartForecast {
  private readonly demand = new TeamDemand();
  private readonly heldTimes = new HeldTimes();
  private readonly correction = new WaitCorrection();
  private readonly retryTimes = new RetryTimes();
  private weights: ReadonlyMap<TeamName, number> = new Map();

  setWeights(weights: ReadonlyMap<TeamName, number>): void {
    this.weights = weights;
  }

  /** @param groups that the item belongs to, such as those for its model and its service. */
  recordArrival(
    groups: readonly string[],
    item: ShareItem,
    nowMs: number,
  ): void {
    groups.forEach(group => this.demand.record(group, item, nowMs));
    this.retryTimes.prune(nowMs);
  }

  /** Records that a server has run a request. */
  recordHeld(
    serverId: string,
    cost: number,
    heldMs: number,
    nowMs: number,
  ): void {
    this.heldTimes.record(serverId, cost, heldMs, nowMs);
  }

  removeServer(serverId: string): void {
    this.heldTimes.remove(serverId);
  }

  /** Compares a forecast with the wait; a request that never started may have waited longer. */
  recordWait(
    item: ShareItem,
    group: string,
    {queuedMs}: Forecast,
    waitedMs: number,
    hasStarted: boolean,
    nowMs: number,
  ): void {
    if (!hasStarted && waitedMs < queuedMs) return;
    this.correction.record(findKind(item, {group}), queuedMs, waitedMs, nowMs);
  }

  /** Whether any server was observed recently. */
  hasData(nowMs: number): boolean {
    return this.heldTimes.hasRecent(nowMs);
  }

  /** Null without recent observations of the pool; nothing is refused then. */
  find(item: ShareItem, pool: ForecastPool, nowMs: number): Forecast | null {
    const fromMs = Math.max(nowMs, pool.readyAtMs);
    const factor = this.correction.find(findKind(item, pool), nowMs);
    return pool.scopes
      .flatMap(
        scope => this.findInScope(item, scope, {fromMs, factor, nowMs}) ?? [],
      )
      .reduce<Forecast | null>(
        (last, next) =>
          last && last.startsAtMs >= next.startsAtMs ? last : next,
        null,
      );
  }

  /** When the team has capacity for a refused item. */
  findRetryAfterMs(
    item: ShareItem,
    group: string,
    forecast: Forecast,
    nowMs: number,
  ): number {
    const {team, priority, id} = item;
    const {queuedMs, intervalMs} = forecast;
    return this.retryTimes.findDelayMs({
      ...{key: JSON.stringify([team, priority, group]), id, intervalMs, nowMs},
      earliestMs: nowMs + queuedMs,
    });
  }

  private findInScope(
    {team, priority, cost, dueAtMs}: ShareItem,
    {servers, groups, aheadCost}: ForecastScope,
    {fromMs, factor, nowMs}: {fromMs: number; factor: number; nowMs: number},
  ): Forecast | null {
    const throughput = this.heldTimes.findThroughput(servers, nowMs);
    if (!throughput) return null;
    const {ratePerMs, demandPerMs, teamShare} = findClassRate({
      ...{team, priority, weights: this.weights},
      demands: groups.flatMap(group => this.demand.list(group, nowMs)),
      capacityPerMs: throughput.costPerMs,
    });
    const queuedMs = findQueuedMs(aheadCost, cost, ratePerMs);
    const correctedMs = queuedMs * factor;
    const isLate = fromMs + correctedMs * LATE_MARGIN > dueAtMs;
    // Once late, an item waits behind all that arrive on time.
    const load = isLate
      ? Math.min(1, demandPerMs / (OVERLOAD_FACTOR * ratePerMs))
      : 0;
    const waitMs = correctedMs === 0 ? 0 : correctedMs / (1 - load);
    return {
      ...{startsAtMs: fromMs + waitMs, queuedMs, teamShare},
      ...{intervalMs: cost / ratePerMs, dataAgeMs: throughput.ageMs},
    };
  }
}

/**
 * The mean wait behind other items is half a turn longer than their cost. The first item of a
 * class is never refused, since it alone shows when the class gets capacity.
 */
function findQueuedMs(
  aheadCost: number,
  ownCost: number,
  ratePerMs: number,
): number {
  return aheadCost === 0 ? 0 : (aheadCost + ownCost / 2) / ratePerMs;
}

function findKind(
  {team}: ShareItem,
  {group}: Pick<ForecastPool, 'group'>,
): string {
  return JSON.stringify([team, group]);
}
