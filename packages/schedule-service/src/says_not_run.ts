/** What the end of an attempt tells of whether its request has run. */
import {type RunResult} from '@mimosatack/schedule-models';
import {type AttemptResult} from '@mimosatack/serve-requests';

/** Whether the server has surely not run the request. */
export function saysNotRun(result: AttemptResult | RunResult): boolean {
  return (
    result === 'not-taken' || result === 'not-held' || result === 'unreachable'
  );
}
