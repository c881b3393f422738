/** Counts recent refusals by model and team. */
import {
  type ModelName,
  type ServiceName,
  type TeamName,
} from '@mimosatack/types';
import {toModelKey} from './model_key.js';

/**
 * Guards against a model that is never served because its small batches always
 * rank behind larger ones. Each refusal raises the rank of its next batch.
 */
export class RefusalCounts {
  private readonly counts = new Map<string, Map<TeamName | null, number>>();

  recordRefusal(
    service: ServiceName,
    model: ModelName,
    team: TeamName | null,
  ): void {
    const key = toModelKey(service, model);
    const byTeam = this.counts.get(key) ?? new Map<TeamName | null, number>();
    byTeam.set(team, (byTeam.get(team) ?? 0) + 1);
    this.counts.set(key, byTeam);
  }

  reset(service: ServiceName, model: ModelName): void {
    this.counts.delete(toModelKey(service, model));
  }

  get modelCount(): number {
    return this.counts.size;
  }

  /**
   * The number of requests refused since the model was last served.
   *
   * @param maxPerTeam refusals of one team beyond this number do not count.
   */
  count(service: ServiceName, model: ModelName, maxPerTeam: number): number {
    const byTeam = this.counts.get(toModelKey(service, model));
    if (!byTeam) return 0;
    return [...byTeam.values()].reduce(
      (sum, count) => sum + Math.min(maxPerTeam, count),
      0,
    );
  }
}
