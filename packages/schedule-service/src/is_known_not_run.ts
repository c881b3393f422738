/** Classifies the results of attempts by whether the request can have run. */
import {type RunResult} from '@mimosatack/schedule-models';
import {type AttemptResult} from '@mimosatack/serve-requests';

/** Whether the result proves that the server has not run the request. */
export function isKnownNotRun(result: AttemptResult | RunResult): boolean {
  return (
    result === 'not-taken' || result === 'not-held' || result === 'unreachable'
  );
}
