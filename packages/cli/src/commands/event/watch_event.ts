/** Waiting for an event to be warm. */
import {TypedError} from '@mimosatack/errors';
import {type AdminClient} from '../../admin_client.js';
import {type EventStatusAnswer, eventStatusSchema} from '../../answers.js';
import {toDocumentPath} from '../../plans/document_plans.js';
import {
  describeProgress,
  findWatchEnd,
  progressKey,
} from '../../plans/event_progress.js';

/** Reads how far an event is. */
export function readEventStatus(
  client: AdminClient,
  id: string,
): Promise<EventStatusAnswer> {
  const path = `${toDocumentPath('event', id)}/status`;
  return client.send({method: 'GET', path}, eventStatusSchema);
}

/** One look at an event: its status once it is warm, else null. */
export class EventWatch {
  private lastKey = '';

  constructor(
    private readonly client: AdminClient,
    private readonly eventId: string,
    private readonly tell: (line: string) => void,
  ) {}

  async look(): Promise<EventStatusAnswer | null> {
    const status = await readEventStatus(this.client, this.eventId);
    const key = progressKey(status);
    if (key !== this.lastKey) this.tell(describeProgress(status));
    this.lastKey = key;
    const end = findWatchEnd(status);
    if (end !== 'over') return end === 'warm' ? status : null;
    throw new TypedError('not-warm', `Event ${this.eventId} is over.`, {
      remedy: 'Change its start, or create another event.',
    });
  }
}
