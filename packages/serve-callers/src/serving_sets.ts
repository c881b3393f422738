/** Which replicas serve a model now, and when one will if none does. */
import {type Outlook} from '@mimosatack/admit-requests';
import {
  type AgreedState,
  type ResolvedEvent,
  type Slot,
  isServing,
} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type BackendServerId} from '@mimosatack/types';
import {type ModelSelection} from './completion_request.js';
import {LoadTimes} from './load_times.js';

/** What the outlook is made from. */
export interface ServingSetsOptions {
  clock: Clock;
  state(): AgreedState;
  board: EngineBoard;
  isLeaving(id: BackendServerId): boolean;
  /** Asks for a replica of a model that requests wait for. */
  noteDemand(model: string): void;
}

/** How long it takes until a demanded replica is decided. */
const DECISION_MS = 1_000;
/** After this long a demand counts as not heard. */
const MAX_DECISION_MS = 3_000;
/** The transfer from the weight store where no plan says how long it takes. */
const DEFAULT_STORE_MS = 1_500;
/** Demand for one model is passed on no more often than this. */
const DEMAND_INTERVAL_MS = 500;
/** Demand that is not repeated for this long counts as new. */
const DEMAND_KEPT_MS = 10_000;
/** When to ask again for a model that nothing is going to load. */
const COLD_RETRY_MS = 30_000;

interface Demand {
  firstAtMs: number;
  lastAtMs: number;
  passedOnAtMs: number;
}

/** The replicas of all models, as this node knows them. */
export class ServingSets {
  private readonly loadTimes = new LoadTimes();
  private readonly demands = new Map<string, Demand>();
  private slotIndex = {
    state: null as AgreedState | null,
    sequence: -1,
    slots: new Map<string, Slot[]>(),
  };

  constructor(private readonly options: ServingSetsOptions) {
    options.board.onChange(report =>
      this.loadTimes.noteReport(report, slotId =>
        options.state().placement.find(slotId),
      ),
    );
  }

  /** The backend servers that may be sent requests for a model now. */
  listCandidates({model, adapter}: ModelSelection): BackendServerId[] {
    const {placement} = this.options.state();
    const nowMs = this.options.clock.wallMs();
    return this.options.board
      .listWarm(model, adapter)
      .filter(({slotId}) => {
        const slot = placement.find(slotId);
        return slot !== undefined && isServing(slot, nowMs);
      })
      .map(({backendServerId}) => backendServerId);
  }

  findOutlook(selection: ModelSelection): Outlook {
    const isServed = this.listCandidates(selection).some(
      id => !this.options.isLeaving(id),
    );
    if (isServed) {
      this.demands.delete(selection.model);
      return {status: 'serving'};
    }
    const slotMs = this.expectSlotMs(selection);
    const demandMs = this.expectDemandMs(selection);
    const expectedInMs = Math.min(slotMs, demandMs);
    if (!Number.isFinite(slotMs) || demandMs < slotMs) {
      this.noteDemand(selection.model);
    }
    return Number.isFinite(expectedInMs)
      ? {status: 'warming', expectedInMs}
      : {status: 'cold', comeBackInMs: this.findComeBackMs(selection)};
  }

  /** Infinite when no replica is decided. */
  private expectSlotMs(selection: ModelSelection): number {
    const nowMs = this.options.clock.wallMs();
    const expectedMs = this.listSlots(selection.model)
      .filter(slot => this.mayServe(slot, selection, nowMs))
      .map(slot => this.loadTimes.expectLeftMs(slot, nowMs));
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
   * Infinite when none may be loaded on demand, and when the demand has been
   * there for so long without a decision that none is to be expected, such as
   * during an outage of the log service.
   */
  private expectDemandMs(selection: ModelSelection): number {
    const {model} = selection;
    if (!this.mayLoadOnDemand(selection)) return Infinity;
    const demand = this.demands.get(model);
    const askedForMs = demand
      ? this.options.clock.monotonicMs() - demand.firstAtMs
      : 0;
    if (askedForMs > MAX_DECISION_MS) return Infinity;
    const decisionMs = Math.max(0, DECISION_MS - askedForMs);
    return decisionMs + this.loadTimes.expectMs(DEFAULT_STORE_MS);
  }

  private mayLoadOnDemand({model, adapter}: ModelSelection): boolean {
    const {configuration} = this.options.state();
    const nowMs = this.options.clock.wallMs();
    const maxReplicas =
      configuration.find('model', model)?.content.onDemand.maxReplicas ?? 0;
    if (maxReplicas > 0 && adapter === null) return true;
    // A policy that loads on the first request decides no slot before it.
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
    const isOld = !known || nowMs - known.lastAtMs > DEMAND_KEPT_MS;
    const demand: Demand = isOld
      ? {firstAtMs: nowMs, lastAtMs: nowMs, passedOnAtMs: -Infinity}
      : {...known, lastAtMs: nowMs};
    const isDue = nowMs - demand.passedOnAtMs >= DEMAND_INTERVAL_MS;
    if (isDue) demand.passedOnAtMs = nowMs;
    this.demands.set(model, demand);
    if (isDue) this.options.noteDemand(model);
  }

  /** When the next event that needs the model starts. */
  private findComeBackMs({model}: ModelSelection): number {
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
    const isOld =
      slotIndex.state !== state || slotIndex.sequence !== state.sequence;
    if (isOld) {
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
