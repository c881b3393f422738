/** Positions of waiting requests among those for the same model. */
import {toModelKey} from './model_key.js';
import {type ScheduledRequest} from './scheduled_request.js';

/** Computed on the first use, since few decisions need it. */
export class QueuePositions {
  private positions: ReadonlyMap<string, number> | null = null;

  /** @param byUrgency the waiting requests, the most urgent first. */
  constructor(private readonly byUrgency: readonly ScheduledRequest[]) {}

  /** The number of more urgent requests for the model. */
  countAhead({askId}: ScheduledRequest): number {
    this.positions ??= this.findPositions();
    return this.positions.get(askId) ?? 0;
  }

  private findPositions(): Map<string, number> {
    const counts = new Map<string, number>();
    return new Map(
      this.byUrgency.map(({askId, service, model}) => {
        const key = toModelKey(service, model);
        const ahead = counts.get(key) ?? 0;
        counts.set(key, ahead + 1);
        return [askId, ahead];
      }),
    );
  }
}
