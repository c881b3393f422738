/** The engines that are scheduled for, by their ids. */
import {
  type BackendServerEntry,
  type BackendServerId,
  compareLives,
} from '@mimosatack/types';
import {EngineView} from './engine_view.js';
import {type ModelCatalogue} from './model_catalogue.js';
import {type ReadingSpeed} from './prefill_speed.js';
import {type EngineReport, type PlannedOrder} from './scheduled_request.js';

/** What the views are built from. */
export interface EngineViewsOptions {
  catalogue: ModelCatalogue;
  speed: ReadingSpeed;
  /** No order may go to the engine before this time. */
  quietUntilMs: (id: BackendServerId) => number;
  /** Engines have come or gone, or have other weights near. */
  onNearChanged: () => void;
  /** All that is remembered of an engine beside its view is forgotten. */
  onForgotten: (id: BackendServerId) => void;
}

/** One view for each life of an engine. */
export class EngineViews {
  private readonly views = new Map<BackendServerId, EngineView>();
  private listed: readonly EngineView[] | null = null;

  constructor(private readonly options: EngineViewsOptions) {}

  get(id: BackendServerId): EngineView | undefined {
    return this.views.get(id);
  }

  list(): readonly EngineView[] {
    this.listed ??= [...this.views.values()];
    return this.listed;
  }

  /** Takes an entry of an engine, new or changed. */
  put(entry: BackendServerEntry, nowMs: number): void {
    const known = this.views.get(entry.id);
    if (!known) {
      const {catalogue} = this.options;
      if (catalogue.findEngine(entry.service)) this.open(entry, [], nowMs);
      return;
    }
    const order = compareLives(entry.startedAtMs, known.startedAtMs);
    if (order === 'same') {
      if (known.update(entry)) this.options.onNearChanged();
      return;
    }
    if (order === 'later') return this.beginLife(known, entry, nowMs);
    // An old entry on a slow way, or a clock that was set back: a report tells.
    known.orders.needsReport = true;
  }

  drop(id: BackendServerId): void {
    this.views.delete(id);
    this.noteChanged();
    this.options.onForgotten(id);
  }

  /** Takes what an engine told when it was asked for its state. */
  noteReport(id: BackendServerId, report: EngineReport, nowMs: number): void {
    const known = this.views.get(id);
    if (!known?.mayBeOfThisLife(report, nowMs)) return;
    const {startedAtMs} = report;
    if (compareLives(startedAtMs, known.startedAtMs) !== 'same') {
      const entry = {...known.entry, startedAtMs, residents: []};
      this.beginLife(known, entry, nowMs);
    }
    this.views.get(id)?.takeReport(report, nowMs);
  }

  /**
   * Guards against work for what an engine held before it crashed: it starts
   * again under its id and holds nothing, counts its orders anew, and runs none
   * of what it ran. Only orders that are still on their way may reach it.
   */
  private beginLife(
    known: EngineView,
    entry: BackendServerEntry,
    nowMs: number,
  ): void {
    this.drop(known.id);
    this.open(entry, known.orders.listOnWay(), nowMs);
  }

  private open(
    entry: BackendServerEntry,
    ordersOnWay: readonly PlannedOrder[],
    nowMs: number,
  ): void {
    const {catalogue, speed, quietUntilMs} = this.options;
    const quiet = () => quietUntilMs(entry.id);
    const context = {catalogue, speed, ordersOnWay, quietUntilMs: quiet};
    this.views.set(entry.id, new EngineView(entry, context, nowMs));
    this.noteChanged();
  }

  private noteChanged(): void {
    this.listed = null;
    this.options.onNearChanged();
  }
}
