/**
 * The planned replicas (slots). A plan that exceeds the memory of a backend
 * server or the replica count of its purpose is void, also if it was valid in
 * the state that its author saw.
 */
import {type BodyOf, type SlotPlan} from '@mimosatack/records';
import {type Configuration} from '../configuration/configuration.js';
import {sumReplicaMemoryMib} from '../configuration/resolve_event.js';
import {type RecordOutcome, VALID, makeVoid} from '../outcome.js';
import {type Stewardship} from '../stewardship/stewardship.js';
import {type MemoryHold, findPeakMib} from './memory_profile.js';
import {
  type Slot,
  formatPurpose,
  findHoldStartMs,
  listSlotHolds,
} from './slot.js';

/** Number of plans accepted for one purpose. */
interface PlanCount {
  purpose: string;
  plans: number;
}

/** The serialized form of the placement, for checkpoints. */
export interface PlacementSnapshot {
  slots: Slot[];
  planCounts: PlanCount[];
}

/** The replicas of one model that a purpose permits. */
interface ReplicaAllowance {
  version: string;
  adapters: readonly string[];
  pool: string;
  memoryMib: number;
  replicas: number;
  maxSurge: number;
}

/** All slots that are not yet released. */
export class Placement {
  private readonly slots = new Map<string, Slot>();
  private readonly byBackendServer = new Map<string, Set<Slot>>();
  private readonly byPurpose = new Map<string, Set<Slot>>();
  private readonly planCounts = new Map<string, number>();

  constructor(
    private readonly configuration: Configuration,
    private readonly stewardship: Stewardship,
  ) {}

  static restore(
    snapshot: PlacementSnapshot,
    configuration: Configuration,
    stewardship: Stewardship,
  ): Placement {
    const restored = new Placement(configuration, stewardship);
    snapshot.slots.forEach(slot => restored.add(slot));
    snapshot.planCounts.forEach(count =>
      restored.planCounts.set(count.purpose, count.plans),
    );
    return restored;
  }

  toSnapshot(): PlacementSnapshot {
    return {
      slots: [...this.slots.values()],
      planCounts: [...this.planCounts.entries()].map(([purpose, plans]) => ({
        purpose,
        plans,
      })),
    };
  }

  find(slotId: string): Slot | undefined {
    return this.slots.get(slotId);
  }

  list(): Slot[] {
    return [...this.slots.values()];
  }

  listOnBackendServer(backendServerId: string): Slot[] {
    return [...(this.byBackendServer.get(backendServerId) ?? [])];
  }

  listForPurpose(purpose: Slot['purpose']): Slot[] {
    return [...(this.byPurpose.get(formatPurpose(purpose)) ?? [])];
  }

  /** The `expectedPlan` that the next plan for this purpose must name. */
  countPlans(purpose: Slot['purpose']): number {
    return this.planCounts.get(formatPurpose(purpose)) ?? 0;
  }

  /**
   * The memory reserved on a backend server over time. A slot in doubt reserves
   * memory without an end, because a former steward may still load it.
   */
  listHolds(backendServerId: string): MemoryHold[] {
    return this.listOnBackendServer(backendServerId).flatMap(slot =>
      this.stewardship.isInDoubt(backendServerId, slot.slotId)
        ? [
            {
              fromMs: findHoldStartMs(slot),
              untilMs: Infinity,
              memoryMib: slot.memoryMib,
            },
          ]
        : listSlotHolds(slot),
    );
  }

  decide(body: BodyOf<'decide-slots'>, sequence: number): RecordOutcome {
    const plans = this.countPlans(body.purpose);
    if (plans !== body.expectedPlan) {
      return makeVoid(
        'stale-plan',
        `${formatPurpose(body.purpose)} has ${plans} plans, ` +
          `not ${body.expectedPlan}.`,
      );
    }
    const fault =
      this.checkRevision(body) ??
      this.checkSlots(body) ??
      this.checkReplicaCount(body) ??
      this.checkMemory(body.slots);
    if (fault) return fault;
    body.slots.forEach(plan =>
      this.add({
        ...plan,
        purpose: body.purpose,
        status: 'decided',
        endReason: null,
        decidedAt: sequence,
      }),
    );
    this.planCounts.set(formatPurpose(body.purpose), plans + 1);
    return VALID;
  }

  end(body: BodyOf<'end-slots'>): RecordOutcome {
    const missing = body.slotIds.find(slotId => !this.slots.has(slotId));
    if (missing !== undefined) {
      return makeVoid('unknown-reference', `There is no slot ${missing}.`);
    }
    body.slotIds.forEach(slotId => {
      const slot = this.slots.get(slotId) as Slot;
      if (slot.status === 'ending') return;
      slot.status = 'ending';
      slot.endReason = body.reason;
    });
    return VALID;
  }

  extend(body: BodyOf<'extend-slots'>): RecordOutcome {
    const slots = body.slotIds.map(slotId => this.slots.get(slotId));
    if (slots.some(slot => !slot || slot.status === 'ending')) {
      return makeVoid('unknown-reference', 'A slot is gone or ending.');
    }
    const extended = (slots as Slot[]).filter(
      slot => slot.untilMs < body.untilMs,
    );
    const fault = this.checkMemory(
      extended.map(slot => ({
        ...slot,
        stage: null,
        loadAtMs: slot.untilMs,
        untilMs: body.untilMs,
      })),
    );
    if (fault) return fault;
    extended.forEach(slot => {
      slot.untilMs = body.untilMs;
    });
    return VALID;
  }

  release(body: BodyOf<'release-slots'>): RecordOutcome {
    if (!this.stewardship.isClaimInForce(body.backendServerId, body.epoch)) {
      return makeVoid(
        'stale-epoch',
        `${body.backendServerId} is not held under epoch ${body.epoch}.`,
      );
    }
    const slots = body.slotIds.map(slotId => this.slots.get(slotId));
    const hasInvalidSlot = slots.some(
      slot =>
        !slot ||
        slot.backendServerId !== body.backendServerId ||
        slot.status !== 'ending',
    );
    if (hasInvalidSlot) {
      return makeVoid('unknown-reference', 'A slot is not ending here.');
    }
    const inDoubtId = body.slotIds.find(slotId =>
      this.stewardship.isInDoubt(body.backendServerId, slotId),
    );
    if (inDoubtId !== undefined) {
      return makeVoid(
        'in-doubt',
        `An earlier steward may still load slot ${inDoubtId}.`,
      );
    }
    (slots as Slot[]).forEach(slot => this.remove(slot));
    return VALID;
  }

  /** Drops all slots of a backend server that is being removed. */
  removeBackendServer(backendServerId: string): void {
    this.listOnBackendServer(backendServerId).forEach(slot =>
      this.remove(slot),
    );
  }

  /**
   * Drops the plan count of a deleted event once its last slot is released. A
   * late plan for the event stays void because its target revision is gone.
   */
  dropPlanCount(eventId: string): void {
    const purpose = {for: 'event' as const, eventId};
    const isInUse =
      this.configuration.findEvent(eventId) !== undefined ||
      this.byPurpose.has(formatPurpose(purpose));
    if (!isInUse) this.planCounts.delete(formatPurpose(purpose));
  }

  private checkRevision(body: BodyOf<'decide-slots'>): RecordOutcome | null {
    const revision = this.findRevision(body.purpose);
    if (revision === body.targetRevision) return null;
    return makeVoid(
      'stale-plan',
      revision === undefined
        ? `${formatPurpose(body.purpose)} does not exist.`
        : `${formatPurpose(body.purpose)} is at revision ${revision}, ` +
            `not ${body.targetRevision}.`,
    );
  }

  private findRevision(purpose: Slot['purpose']): number | undefined {
    return purpose.for === 'event'
      ? this.configuration.findEvent(purpose.eventId)?.revision
      : this.configuration.find('model', purpose.model)?.version;
  }

  private checkSlots(body: BodyOf<'decide-slots'>): RecordOutcome | null {
    const ids = new Set(body.slots.map(plan => plan.slotId));
    const isRepeated =
      ids.size < body.slots.length ||
      body.slots.some(plan => this.slots.has(plan.slotId));
    if (isRepeated) return makeVoid('invalid-content', 'A slot id repeats.');
    const faults = body.slots
      .map(plan => this.findSlotFault(plan, body.purpose))
      .filter(fault => fault !== null);
    return faults[0] === undefined
      ? null
      : makeVoid('invalid-content', faults[0]);
  }

  private findSlotFault(
    plan: SlotPlan,
    purpose: Slot['purpose'],
  ): string | null {
    if (plan.untilMs <= plan.loadAtMs) {
      return `Slot ${plan.slotId} ends before it is loaded.`;
    }
    if (plan.stage && plan.stage.untilMs > plan.loadAtMs) {
      return `Slot ${plan.slotId} is staged after it is loaded.`;
    }
    const server = this.stewardship.findBackendServer(plan.backendServerId);
    if (!server) return `There is no backend server ${plan.backendServerId}.`;
    const allowance = this.findAllowance(purpose, plan);
    if (!allowance) {
      return `${formatPurpose(purpose)} needs no ${plan.model}.`;
    }
    if (server.pool !== allowance.pool) {
      return `${plan.model} runs in pool ${allowance.pool}, not ${server.pool}.`;
    }
    return plan.memoryMib === allowance.memoryMib
      ? null
      : `A replica of ${plan.model} takes ${allowance.memoryMib} MiB.`;
  }

  private findAllowance(
    purpose: Slot['purpose'],
    plan: SlotPlan,
  ): ReplicaAllowance | undefined {
    if (purpose.for === 'event') {
      return this.configuration
        .findEvent(purpose.eventId)
        ?.needs.find(need => isSameReplica(need, plan));
    }
    const model = this.configuration.find('model', plan.model)?.content;
    if (!model || plan.model !== purpose.model) return undefined;
    return {
      version: model.version,
      adapters: plan.adapters,
      pool: model.pool,
      memoryMib: sumReplicaMemoryMib(model, plan.adapters),
      replicas: model.onDemand.maxReplicas,
      maxSurge: 0,
    };
  }

  /**
   * Counts ending slots too, because the engine may still have their replicas
   * loaded until they are released.
   */
  private checkReplicaCount(
    body: BodyOf<'decide-slots'>,
  ): RecordOutcome | null {
    const held = this.listForPurpose(body.purpose);
    const fault = body.slots
      .map(plan => {
        const allowance = this.findAllowance(
          body.purpose,
          plan,
        ) as ReplicaAllowance;
        const sameModel = [...held, ...body.slots].filter(
          other => other.model === plan.model,
        );
        const originals = sameModel.filter(other => other.replaces === null);
        const isTooMany =
          sameModel.length > allowance.replicas + allowance.maxSurge ||
          originals.length > allowance.replicas;
        return isTooMany
          ? `${plan.model} may have ${allowance.replicas} replicas ` +
              `and ${allowance.maxSurge} for lost ones.`
          : null;
      })
      .find(message => message !== null);
    return fault === undefined ? null : makeVoid('too-many-replicas', fault);
  }

  private checkMemory(plans: readonly SlotPlan[]): RecordOutcome | null {
    const overcommitted = plans.find(plan => {
      const server = this.stewardship.findBackendServer(plan.backendServerId);
      const holds = [
        ...this.listHolds(plan.backendServerId),
        ...plans
          .filter(other => other.backendServerId === plan.backendServerId)
          .flatMap(listSlotHolds),
      ];
      const peakMib = findPeakMib(holds, findHoldStartMs(plan), plan.untilMs);
      return peakMib > (server?.memoryMib ?? 0);
    });
    return overcommitted
      ? makeVoid(
          'memory-exceeded',
          `${overcommitted.backendServerId} has no room for ` +
            `${overcommitted.model} at that time.`,
        )
      : null;
  }

  private add(slot: Slot): void {
    this.slots.set(slot.slotId, slot);
    addToIndex(this.byBackendServer, slot.backendServerId, slot);
    addToIndex(this.byPurpose, formatPurpose(slot.purpose), slot);
  }

  private remove(slot: Slot): void {
    this.slots.delete(slot.slotId);
    removeFromIndex(this.byBackendServer, slot.backendServerId, slot);
    removeFromIndex(this.byPurpose, formatPurpose(slot.purpose), slot);
    if (slot.purpose.for === 'event') this.dropPlanCount(slot.purpose.eventId);
  }
}

function isSameReplica(
  need: {model: string; version: string; adapters: readonly string[]},
  plan: SlotPlan,
): boolean {
  return (
    need.model === plan.model &&
    need.version === plan.version &&
    need.adapters.join(',') === plan.adapters.join(',')
  );
}

function addToIndex(
  index: Map<string, Set<Slot>>,
  key: string,
  slot: Slot,
): void {
  const members = index.get(key) ?? new Set<Slot>();
  members.add(slot);
  index.set(key, members);
}

function removeFromIndex(
  index: Map<string, Set<Slot>>,
  key: string,
  slot: Slot,
): void {
  const members = index.get(key);
  members?.delete(slot);
  if (members?.size === 0) index.delete(key);
}
