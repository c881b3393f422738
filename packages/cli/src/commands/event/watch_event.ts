/** Polls the status of an event until the event is warm. */
import {TypedError} from '@mimosatack/errors';
import {type AdminClient} from '../../admin_client.js';
import {type EventStatusResponse, eventStatusSchema} from '../../responses.js';
import {toDocumentPath} from '../../plans/document_plans.js';
import {
  describeProgress,
  findWatchOutcome,
  progressKey,
} from '../../plans/event_progress.js';

export function readEventStatus(
  client: AdminClient,
  id: string,
): Promise<EventStatusResponse> {
  const path = `${toDocumentPath('event', id)}/status`;
  return client.send({method: 'GET', path}, eventStatusSchema);
}

/** Polls one event and reports each change of its progress. */
export class EventWatcher {
  private lastKey = '';

  constructor(
    private readonly client: AdminClient,
    private readonly eventId: string,
    private readonly report: (line: string) => void,
  ) {}

  /** Resolves with the status once the event is warm, else with null. */
  async poll(): Promise<EventStatusResponse | null> {
    const status = await readEventStatus(this.client, this.eventId);
    const key = progressKey(status);
    if (key !== this.lastKey) this.report(describeProgress(status));
    this.lastKey = key;
    const outcome = findWatchOutcome(status);
    if (outcome !== 'over') return outcome === 'warm' ? status : null;
    throw new TypedError('not-warm', `Event ${this.eventId} is over.`, {
      remedy: 'Change its start, or create another event.',
    });
  }
}
