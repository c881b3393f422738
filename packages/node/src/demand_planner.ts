/** Plans the replicas for requests outside events. */
import {type ResolvedEvent} from '@mimosatack/agreed-state';
import {DemandTable, isDemandDue, planDemand} from '@mimosatack/plan-warming';
import {type RecordBody} from '@mimosatack/records';
import {makeDecision, makeEndings} from './plan_records.js';
import {type PlannerTaskOptions} from './planner_task.js';
import {type PlannerView} from './planner_view.js';

const DEMAND_MEMORY_MS = 600_000;

/** What requests ask for, and the plans that follow from it. */
export class DemandPlanner {
  private readonly demand = new DemandTable();

  constructor(
    private readonly options: PlannerTaskOptions,
    private readonly view: PlannerView,
  ) {}

  get models(): string[] {
    return this.demand.models;
  }

  /** A request for `model` or `model:adapter` found no warm replica. */
  noteMiss(modelText: string, nowMs: number): void {
    this.demand.noteMiss(modelText, nowMs);
  }

  /** The models of an event that requests were refused for. */
  listMissed(event: ResolvedEvent): Set<string> {
    const missed = event.needs
      .map(need => need.model)
      .filter(model => this.demand.find(model).lastMissMs !== null);
    return new Set(missed);
  }

  plan(nowMs: number): RecordBody[] {
    this.view.listActiveModels().forEach(model => {
      this.demand.noteUse(model, nowMs);
    });
    this.demand.forgetBefore(nowMs - DEMAND_MEMORY_MS);
    return this.models.flatMap(model => this.planModel(model, nowMs));
  }

  private planModel(model: string, nowMs: number): RecordBody[] {
    const {state} = this.options.follower;
    const document = state.configuration.find('model', model);
    const demand = this.demand.find(model);
    if (!document || this.view.isForEvent(model, demand.adapters)) return [];
    const purpose = {for: 'demand' as const, model};
    const look = {
      content: document.content,
      demand,
      held: this.view.listHeld(purpose),
      nowMs,
    };
    if (!isDemandDue(look)) return [];
    if (this.options.findRank(`demand ${model}`) !== 0) return [];
    const plan = planDemand({
      ...this.options,
      ...this.view.planningParts(),
      ...look,
      model,
      idleSlots: this.view.listIdleDemand(model, this.demand),
    });
    this.view.take(plan.decide);
    return [
      ...makeEndings(plan),
      ...makeDecision(state.placement, purpose, document.version, plan.decide),
    ];
  }
}
