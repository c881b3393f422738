/** Manages the views of all engines, by engine id. */
import {type ServerLimiter} from '@mimosatack/share-limits';
import {type ServerIncarnation} from '@mimosatack/track-availability';
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServiceName,
  compareIncarnations,
  isVersionAllowed,
} from '@mimosatack/types';
import {EngineView} from './engine_view.js';
import {type ModelCatalogue} from './model_catalogue.js';
import {type PrefillSpeed} from './prefill_speed.js';
import {
  type EngineReport,
  type PlannedOrder,
  type ScheduledRequest,
} from './scheduled_request.js';

export interface EngineViewsOptions {
  catalogue: ModelCatalogue;
  speed: PrefillSpeed;
  findLimiter: () => ServerLimiter;
  isLeaving: (server: ServerIncarnation) => boolean;
  /** No order may be sent to the engine before this time. */
  ordersBlockedUntilMs: (id: BackendServerId) => number;
  /**
   * Called when engines are added or removed or their cached weights change.
   */
  onEnginesChanged: () => void;
  /** Called when a view is removed, to drop all other state of the engine. */
  onRemoved: (id: BackendServerId) => void;
}

/** Keeps one view for the current incarnation of each engine. */
export class EngineViews {
  private readonly views = new Map<BackendServerId, EngineView>();
  private cachedList: readonly EngineView[] | null = null;
  private mixedServices: ReadonlySet<ServiceName> | null = null;

  constructor(private readonly options: EngineViewsOptions) {}

  get(id: BackendServerId): EngineView | undefined {
    return this.views.get(id);
  }

  list(): readonly EngineView[] {
    this.cachedList ??= [...this.views.values()];
    return this.cachedList;
  }

  /** Whether all engines of the service are leaving; false if none is known. */
  areAllLeaving(service: ServiceName): boolean {
    const isOfService = ({entry}: EngineView) => entry.service === service;
    const hasStaying = this.list().some(
      engine => isOfService(engine) && engine.isStaying,
    );
    return !hasStaying && this.list().some(isOfService);
  }

  /** Whether engines of the service are known, and all with the version are leaving. */
  isVersionGone(request: ScheduledRequest): boolean {
    const known = this.list().filter(
      ({entry}) => entry.service === request.service,
    );
    return (
      known.length > 0 &&
      !known.some(
        engine => engine.isStaying && isVersionAllowed(request, engine.entry),
      )
    );
  }

  /** Whether the engines of the service run at several software versions. */
  isMixed(service: ServiceName): boolean {
    this.mixedServices ??= findMixedServices(this.list());
    return this.mixedServices.has(service);
  }

  /** Adds an engine or applies its changed entry. */
  put(entry: BackendServerEntry, nowMs: number): void {
    const view = this.views.get(entry.id);
    if (!view) {
      const {catalogue} = this.options;
      if (catalogue.findEngine(entry.service)) this.addView(entry, [], nowMs);
      return;
    }
    const order = compareIncarnations(entry.startedAtMs, view.startedAtMs);
    const isSameVersion = entry.softwareVersion === view.entry.softwareVersion;
    if (order === 'same' && isSameVersion) {
      if (view.update(entry)) this.options.onEnginesChanged();
      return;
    }
    if (order !== 'earlier') return this.startIncarnation(view, entry, nowMs);
    // The entry is outdated or a clock was set back; a report decides which.
    view.orders.needsReport = true;
  }

  remove(id: BackendServerId): void {
    this.views.delete(id);
    this.invalidateList();
    this.options.onRemoved(id);
  }

  /** Applies the state that an engine reported. */
  recordReport(id: BackendServerId, report: EngineReport, nowMs: number): void {
    const view = this.views.get(id);
    if (!view?.acceptsReport(report, nowMs)) return;
    const {startedAtMs} = report;
    if (compareIncarnations(startedAtMs, view.startedAtMs) !== 'same') {
      const entry = {...view.entry, startedAtMs, residents: []};
      this.startIncarnation(view, entry, nowMs);
    }
    this.views.get(id)?.applyReport(report, nowMs);
  }

  /**
   * Guards against relying on the state of an engine before its crash: after a
   * restart it holds no models, runs no requests and counts its orders from
   * zero. Only orders in flight carry over.
   */
  private startIncarnation(
    view: EngineView,
    entry: BackendServerEntry,
    nowMs: number,
  ): void {
    this.remove(view.id);
    this.addView(entry, view.orders.listInFlight(), nowMs);
  }

  private addView(
    entry: BackendServerEntry,
    inFlightOrders: readonly PlannedOrder[],
    nowMs: number,
  ): void {
    const {catalogue, speed, findLimiter, isLeaving, ordersBlockedUntilMs} =
      this.options;
    const quiet = () => ordersBlockedUntilMs(entry.id);
    const context = {
      ...{catalogue, speed, isLeaving, inFlightOrders},
      limiter: findLimiter(),
      ordersBlockedUntilMs: quiet,
    };
    this.views.set(entry.id, new EngineView(entry, context, nowMs));
    this.invalidateList();
  }

  private invalidateList(): void {
    this.cachedList = null;
    this.mixedServices = null;
    this.options.onEnginesChanged();
  }
}

function findMixedServices(engines: readonly EngineView[]): Set<ServiceName> {
  const firstVersions = new Map<ServiceName, string>();
  return new Set(
    engines.flatMap(({entry: {service, softwareVersion}}) => {
      const first = firstVersions.get(service) ?? softwareVersion;
      firstVersions.set(service, first);
      return first === softwareVersion ? [] : [service];
    }),
  );
}
