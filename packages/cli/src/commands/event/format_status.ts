import {type EventStatusResponse} from '../../responses.js';
import {describeProgress} from '../../plans/event_progress.js';
import {formatTable} from '../../print/table.js';
import {formatTime} from '../../print/times.js';

/** Formats the progress of an event, with one row for each model it needs. */
export function formatStatus(status: EventStatusResponse): string {
  const table = formatTable(status.needs, [
    {title: 'model', read: need => need.model},
    {title: 'version', read: need => need.version},
    {title: 'adapters', read: need => need.adapters.join(',')},
    {title: 'replicas', read: need => need.replicas},
    {title: 'decided', read: need => need.decided},
    {title: 'loading', read: need => need.loading},
    {title: 'warm', read: need => need.warm},
    {title: 'unplaced', read: need => need.unplaced},
    {title: 'warm from', read: need => formatTime(need.expectedWarmAtMs)},
  ]);
  const from = formatTime(status.startsAtMs);
  const until = formatTime(status.endsAtMs);
  return `event ${status.eventId}, ${from} to ${until}\n${describeProgress(status)}\n${table}`;
}
