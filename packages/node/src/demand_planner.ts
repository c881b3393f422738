/** Plans replicas for requests outside events. */
import {type ResolvedEvent} from '@mimosatack/agreed-state';
import {
  DemandTable,
  isDemandPlanDue,
  planDemand,
} from '@mimosatack/plan-warming';
import {type RecordBody} from '@mimosatack/records';
import {makeDecisionRecord, makeEndAndExtendRecords} from './plan_records.js';
import {type PlannerTaskOptions} from './planner_task.js';
import {type PlannerView} from './planner_view.js';

const DEMAND_RETENTION_MS = 600_000;

/** Records which models are requested and plans replicas for them. */
export class DemandPlanner {
  private readonly demand = new DemandTable();

  constructor(
    private readonly options: PlannerTaskOptions,
    private readonly view: PlannerView,
  ) {}

  get models(): string[] {
    return this.demand.models;
  }

  /**
   * Records that a request for `model` or `model:adapter` found no warm
   * replica.
   */
  recordMiss(modelText: string, nowMs: number): void {
    this.demand.recordMiss(modelText, nowMs);
  }

  /** The models of an event for which a request found no warm replica. */
  listMissed(event: ResolvedEvent): Set<string> {
    const missed = event.needs
      .map(need => need.model)
      .filter(model => this.demand.find(model).lastMissMs !== null);
    return new Set(missed);
  }

  plan(nowMs: number): RecordBody[] {
    this.view.listActiveModels().forEach(model => {
      this.demand.recordUse(model, nowMs);
    });
    this.demand.evictBefore(nowMs - DEMAND_RETENTION_MS);
    return this.models.flatMap(model => this.planModel(model, nowMs));
  }

  private planModel(model: string, nowMs: number): RecordBody[] {
    const {state} = this.options.follower;
    const document = state.configuration.find('model', model);
    const demand = this.demand.find(model);
    if (!document || this.view.isEventDemand(model, demand.adapters)) return [];
    const purpose = {for: 'demand' as const, model};
    const planInput = {
      content: document.content,
      demand,
      held: this.view.listHeld(purpose),
      nowMs,
    };
    if (!isDemandPlanDue(planInput)) return [];
    if (this.options.findRank(`demand ${model}`) !== 0) return [];
    const plan = planDemand({
      ...this.options,
      ...this.view.planningParts(),
      ...planInput,
      model,
      idleSlots: this.view.listIdleDemand(model, this.demand),
    });
    this.view.reserve(plan.decide);
    return [
      ...makeEndAndExtendRecords(plan),
      ...makeDecisionRecord(
        state.placement,
        purpose,
        document.version,
        plan.decide,
      ),
    ];
  }
}
