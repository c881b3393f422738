/** Finds the replicas that serve a model, or when one is expected to. */
import {type ReplicaAvailability} from '@mimosatack/admit-requests';
import {
  type AgreedState,
  type ResolvedEvent,
  type Slot,
  isInServingWindow,
} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type BackendServerId} from '@mimosatack/types';
import {type ModelSelection} from './completion_request.js';
import {LoadTimeEstimator} from './load_time_estimator.js';

export interface ReplicaLookupOptions {
  clock: Clock;
  state(): AgreedState;
  board: EngineBoard;
  isLeaving(id: BackendServerId): boolean;
  /** Reports that requests wait for a replica of the model. */
  reportDemand(model: string): void;
}

/** The expected time until the scheduling node decides on a replica. */
const EXPECTED_DECISION_MS = 1_000;
/** A demand without a decision for this long is not expected to be met. */
const MAX_DECISION_MS = 3_000;
/** The assumed transfer time from the weight store when no plan gives one. */
const DEFAULT_STORE_MS = 1_500;
/** The minimum interval between demand reports for one model. */
const DEMAND_INTERVAL_MS = 500;
/** A demand that is repeated after this long counts as new. */
const DEMAND_TTL_MS = 10_000;
/** The retry time for a cold model without an upcoming event. */
const COLD_RETRY_MS = 30_000;

interface Demand {
  firstAtMs: number;
  lastAtMs: number;
  forwardedAtMs: number;
}

export class ReplicaLookup {
  private readonly loadTimes = new LoadTimeEstimator();
  private readonly demands = new Map<string, Demand>();
  private slotIndex = {
    state: null as AgreedState | null,
    sequence: -1,
    slots: new Map<string, Slot[]>(),
  };

  constructor(private readonly options: ReplicaLookupOptions) {
    options.board.onChange(report =>
      this.loadTimes.noteReport(report, slotId =>
        options.state().placement.find(slotId),
      ),
    );
  }

  /** The backend servers that can serve the model now. */
  listCandidates({model, adapter}: ModelSelection): BackendServerId[] {
    const {placement} = this.options.state();
    const nowMs = this.options.clock.wallMs();
    return this.options.board
      .listWarm(model, adapter)
      .filter(({slotId}) => {
        const slot = placement.find(slotId);
        return slot !== undefined && isInServingWindow(slot, nowMs);
      })
      .map(({backendServerId}) => backendServerId);
  }

  findAvailability(selection: ModelSelection): ReplicaAvailability {
    const isServed = this.listCandidates(selection).some(
      id => !this.options.isLeaving(id),
    );
    if (isServed) {
      this.demands.delete(selection.model);
      return {status: 'serving'};
    }
    const slotMs = this.estimateSlotMs(selection);
    const demandMs = this.estimateDemandMs(selection);
    const expectedInMs = Math.min(slotMs, demandMs);
    if (!Number.isFinite(slotMs) || demandMs < slotMs) {
      this.noteDemand(selection.model);
    }
    return Number.isFinite(expectedInMs)
      ? {status: 'warming', readyInMs: expectedInMs}
      : {status: 'cold', retryAfterMs: this.findRetryAfterMs(selection)};
  }

  /** Infinity when no slot is decided. */
  private estimateSlotMs(selection: ModelSelection): number {
    const nowMs = this.options.clock.wallMs();
    const expectedMs = this.listSlots(selection.model)
      .filter(slot => this.mayServe(slot, selection, nowMs))
      .map(slot => this.loadTimes.estimateRemainingMs(slot, nowMs));
    return Math.min(Infinity, ...expectedMs);
  }

  private mayServe(
    slot: Slot,
    {adapter}: ModelSelection,
    nowMs: number,
  ): boolean {
    const {options} = this;
    const {backendServerId} = slot;
    return (
      slot.status === 'decided' &&
      slot.untilMs > nowMs &&
      (adapter === null || slot.adapters.includes(adapter)) &&
      options.board.find(backendServerId)?.isReachable !== false &&
      !options.isLeaving(backendServerId)
    );
  }

  /**
   * Infinity when the model cannot be loaded on demand, or when the demand has
   * had no decision for too long, as during an outage of the log service.
   */
  private estimateDemandMs(selection: ModelSelection): number {
    const {model} = selection;
    if (!this.mayLoadOnDemand(selection)) return Infinity;
    const demand = this.demands.get(model);
    const demandAgeMs = demand
      ? this.options.clock.monotonicMs() - demand.firstAtMs
      : 0;
    if (demandAgeMs > MAX_DECISION_MS) return Infinity;
    const decisionMs = Math.max(0, EXPECTED_DECISION_MS - demandAgeMs);
    return decisionMs + this.loadTimes.estimateMs(DEFAULT_STORE_MS);
  }

  private mayLoadOnDemand({model, adapter}: ModelSelection): boolean {
    const {configuration} = this.options.state();
    const nowMs = this.options.clock.wallMs();
    const maxReplicas =
      configuration.find('model', model)?.content.onDemand.maxReplicas ?? 0;
    if (maxReplicas > 0 && adapter === null) return true;
    // A policy that loads on the first request decides no slot in advance.
    return this.listEvents(model).some(
      event =>
        event.startsAtMs <= nowMs &&
        nowMs < event.endsAtMs &&
        event.needs.some(
          need =>
            need.model === model &&
            (adapter === null || need.adapters.includes(adapter)),
        ),
    );
  }

  private noteDemand(model: string): void {
    const nowMs = this.options.clock.monotonicMs();
    const known = this.demands.get(model);
    const isStale = !known || nowMs - known.lastAtMs > DEMAND_TTL_MS;
    const demand: Demand = isStale
      ? {firstAtMs: nowMs, lastAtMs: nowMs, forwardedAtMs: -Infinity}
      : {...known, lastAtMs: nowMs};
    const isDue = nowMs - demand.forwardedAtMs >= DEMAND_INTERVAL_MS;
    if (isDue) demand.forwardedAtMs = nowMs;
    this.demands.set(model, demand);
    if (isDue) this.options.reportDemand(model);
  }

  /** The time until the next event that needs the model. */
  private findRetryAfterMs({model}: ModelSelection): number {
    const nowMs = this.options.clock.wallMs();
    const startsInMs = this.listEvents(model)
      .map(event => event.startsAtMs - nowMs)
      .filter(inMs => inMs > 0);
    return startsInMs.length === 0 ? COLD_RETRY_MS : Math.min(...startsInMs);
  }

  private listEvents(model: string): ResolvedEvent[] {
    return this.options
      .state()
      .configuration.listEvents()
      .filter(event => event.needs.some(need => need.model === model));
  }

  private listSlots(model: string): readonly Slot[] {
    const state = this.options.state();
    const {slotIndex} = this;
    const isStale =
      slotIndex.state !== state || slotIndex.sequence !== state.sequence;
    if (isStale) {
      const slots = indexByModel(state.placement.list());
      this.slotIndex = {state, sequence: state.sequence, slots};
    }
    return this.slotIndex.slots.get(model) ?? [];
  }
}

function indexByModel(slots: readonly Slot[]): Map<string, Slot[]> {
  return slots.reduce((index, slot) => {
    const same = index.get(slot.model);
    if (same) same.push(slot);
    else index.set(slot.model, [slot]);
    return index;
  }, new Map<string, Slot[]>());
}
