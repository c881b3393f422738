/** Test fixtures that build small agreed states and planner inputs. */
import {
  AgreedState,
  type RecordOutcome,
  type ResolvedEvent,
  type Slot,
} from '@mimosatack/agreed-state';
import {type RecordBody, encodeBatch} from '@mimosatack/records';
import {type EngineState} from '@mimosatack/types';
import {LoadTimeEstimates} from './load_time_estimates.js';
import {type EventPlan, type EventPlanInput, planEvent} from './plan_event.js';
import {listPreemptible} from './preempt_slots.js';
import {type ServerView, makeServerView} from './server_view.js';
import {StoreTimetable, findStoreUse} from './store_timetable.js';
import {TimetablePolicy} from './timetable_policy.js';

export const MODEL_MIB = 100;
const MINUTE_MS = 60_000;
const MAX_CONCURRENT_LOADS = 3;

export interface ServerSpec {
  id: string;
  memoryMib?: number;
  failureDomain?: string;
  fencing?: 'refuses-old' | 'ignores';
}

export interface EventSpec {
  startsAtMs: number;
  durationMinutes?: number;
  priority?: number;
  needs: {
    model: string;
    version?: string;
    adapters?: string[];
    replicas?: number;
    maxSurge?: number;
  }[];
}

/** Conditions of servers that nodes know from sources other than the log. */
export interface ServerConditions {
  lost?: string[];
  leaving?: string[];
  engines?: EngineState[];
}

/** An in-memory log that is folded into the state on every write. */
export class FixtureLog {
  readonly state = new AgreedState();
  private recordCount = 0;
  private slotCount = 0;

  constructor(servers: readonly ServerSpec[], models: readonly string[]) {
    servers.forEach(server => this.register(server));
    this.put('team', 'team', {});
    models.forEach(model => this.putModel(model));
  }

  write(body: RecordBody): RecordOutcome {
    this.recordCount += 1;
    const record = {
      recordId: `record-${this.recordCount}`,
      author: 'node',
      basisSequence: this.state.sequence,
      writtenAtMs: 0,
      operator: null,
      reason: null,
      body,
    };
    const {nextOffset} = this.state;
    const [folded] = this.state.foldAppend(nextOffset, encodeBatch([record]));
    return folded?.outcome ?? {status: 'valid'};
  }

  put(
    kind: 'team' | 'model' | 'template' | 'event',
    id: string,
    content: object,
  ) {
    const expectedVersion = this.state.configuration.currentVersion(kind, id);
    return this.write({
      type: 'put-document',
      kind,
      id,
      expectedVersion,
      content: {...content},
    });
  }

  putModel(model: string, content: object = {}): void {
    this.put('model', model, {
      pool: 'pool',
      version: 'v1',
      memoryMib: MODEL_MIB,
      adapters: {a: {memoryMib: 10}, b: {memoryMib: 10}},
      ...content,
    });
  }

  putEvent(eventId: string, spec: EventSpec): ResolvedEvent {
    const {startsAtMs, durationMinutes = 10, priority = 5, needs} = spec;
    this.put('template', `t-${eventId}`, {
      team: 'team',
      event: {
        startsAt: startsAtMs,
        durationMinutes,
        priority,
        needs: needs.map(need => ({replicas: 1, ...need})),
      },
    });
    this.put('event', eventId, {team: 'team', template: `t-${eventId}`});
    return this.state.configuration.findEvent(eventId) as ResolvedEvent;
  }

  /** Plans an event against the current state. */
  plan(
    eventId: string,
    nowMs: number,
    conditions: ServerConditions = {},
  ): EventPlan {
    return planEvent(this.makeInput(eventId, nowMs, conditions));
  }

  makeInput(
    eventId: string,
    nowMs: number,
    conditions: ServerConditions = {},
  ): EventPlanInput {
    const {configuration, placement} = this.state;
    const event = configuration.findEvent(eventId) as ResolvedEvent;
    return {
      event,
      held: this.listHeld(eventId),
      preemptible: listPreemptible(event, placement.list(), {
        nowMs,
        findEvent: id => configuration.findEvent(id),
      }),
      servers: this.listViews(conditions),
      policy: new TimetablePolicy({coldStartWeight: 0.5, idleWeight: 0.5}),
      loadTimes: new LoadTimeEstimates(),
      maxConcurrentLoads: MAX_CONCURRENT_LOADS,
      timetable: this.makeTimetable(),
      nowMs,
      requestedModels: new Set(),
      makeSlotId: () => this.makeSlotId(),
    };
  }

  /** Writes a plan and returns the outcome of each record. */
  apply(eventId: string, plan: EventPlan): RecordOutcome[] {
    const purpose = {for: 'event' as const, eventId};
    const event = this.state.configuration.findEvent(eventId);
    const bodies: RecordBody[] = [
      ...plan.end.map(ending => ({type: 'end-slots' as const, ...ending})),
      ...plan.extend.map(more => ({type: 'extend-slots' as const, ...more})),
    ];
    if (plan.decide.length > 0) {
      bodies.push({
        type: 'decide-slots',
        purpose,
        targetRevision: event?.revision ?? 0,
        expectedPlan: this.state.placement.countPlans(purpose),
        slots: plan.decide,
      });
    }
    return bodies.map(body => this.write(body));
  }

  /** Releases ending slots, as stewards do once engines have unloaded them. */
  releaseEnding(): void {
    const {placement, stewardship} = this.state;
    placement
      .list()
      .filter(slot => slot.status === 'ending')
      .forEach(({slotId, backendServerId}) => {
        const epoch = stewardship.findClaim(backendServerId)?.epoch ?? 0;
        this.write({
          type: 'release-slots',
          backendServerId,
          epoch,
          slotIds: [slotId],
        });
      });
  }

  listHeld(eventId: string): Slot[] {
    return this.state.placement.listForPurpose({for: 'event', eventId});
  }

  listViews({
    lost = [],
    leaving = [],
    engines = [],
  }: ServerConditions): ServerView[] {
    const {stewardship, placement} = this.state;
    return stewardship.listBackendServers().map(server => {
      const id = server.backendServerId;
      return makeServerView({
        server,
        holds: placement.listHolds(id),
        engine: engines.find(each => each.backendServerId === id) ?? null,
        isLeaving: leaving.includes(id),
        isLost: lost.includes(id),
      });
    });
  }

  makeTimetable(): StoreTimetable {
    const uses = this.state.placement.list().map(findStoreUse);
    return new StoreTimetable(MAX_CONCURRENT_LOADS, uses);
  }

  makeSlotId(): string {
    this.slotCount += 1;
    return `s${this.slotCount}`;
  }

  private register(spec: ServerSpec): void {
    this.write({
      type: 'register-backend-server',
      backendServerId: spec.id,
      hostId: spec.id,
      baseUrl: 'http://127.0.0.1:1',
      pool: 'pool',
      failureDomain: spec.failureDomain ?? 'domain',
      region: 'region',
      fencing: spec.fencing ?? 'refuses-old',
      accelerators: 8,
      memoryMib: spec.memoryMib ?? 4 * MODEL_MIB,
    });
    this.write({
      type: 'claim-steward',
      backendServerId: spec.id,
      expectedEpoch: 0,
      successors: [],
    });
  }
}

/** Servers `r1`, `r2` and so on, spread over failure domains. */
export function makeServers(
  count: number,
  domains = 1,
  spec: Partial<ServerSpec> = {},
): ServerSpec[] {
  return Array.from({length: count}, (_unused, index) => ({
    id: `r${index + 1}`,
    failureDomain: `domain-${index % domains}`,
    ...spec,
  }));
}

/** A report of an engine without replicas. */
export function makeEngine(
  backendServerId: string,
  parts: Partial<EngineState> = {},
): EngineState {
  return {
    backendServerId,
    incarnation: 'i1',
    fencing: 'refuses-old',
    highestFencingNumber: 0,
    accelerators: 8,
    memoryMib: 4 * MODEL_MIB,
    replicas: [],
    cached: [],
    load: {
      runningRequests: 0,
      queuedRequests: 0,
      maxRunningRequests: 16,
      tokensPerSecond: 0,
      ageMs: 0,
    },
    ...parts,
  };
}

/** An engine's report of the warm replica of a slot. */
export function makeWarm(slot: {
  slotId: string;
  model: string;
  version: string;
}): EngineState['replicas'][number] {
  const {slotId, model, version} = slot;
  return {
    slotId,
    model,
    version,
    adapter: null,
    memoryMib: MODEL_MIB,
    status: 'warm',
    loadMs: 500,
    activeRequests: 0,
  };
}

/** Converts minutes to milliseconds. */
export function minutes(count: number): number {
  return count * MINUTE_MS;
}
