/** Decides what this host knows of whether backend servers have run a request. */
import {type AttemptOutcome} from './attempt.js';

/** Ordered by how likely the request has run. */
const KNOWLEDGE = ['not-sent', 'not-run', 'unknown', 'run'] as const;

/**
 * - `not-sent`: no byte of the request was written to a connection.
 * - `not-run`: the server stated that it has not run the request and will not.
 * - `unknown`: bytes were written, and no server has stated what became of them.
 * - `run`: the server responded as one that has run the request.
 */
export type RunKnowledge = (typeof KNOWLEDGE)[number];

/** What the end of one attempt tells. */
export function findRunKnowledge(outcome: AttemptOutcome): RunKnowledge {
  switch (outcome.status) {
    case 'answered':
      return 'run';
    case 'not-run':
      return outcome.reason === 'unreachable' ? 'not-sent' : 'not-run';
    case 'aborted':
      return outcome.isSent ? 'unknown' : 'not-sent';
    case 'refusing':
    case 'broken':
      return 'unknown';
  }
}

/** What all attempts of one request tell. */
export class RunRecord {
  private known: RunKnowledge = 'not-sent';

  recordEnd(outcome: AttemptOutcome): void {
    const ended = findRunKnowledge(outcome);
    const isMore = KNOWLEDGE.indexOf(ended) > KNOWLEDGE.indexOf(this.known);
    if (isMore) this.known = ended;
  }

  /** Only a request for which this is false may be answered as not run. */
  get mayHaveRun(): boolean {
    return this.known === 'unknown' || this.known === 'run';
  }
}
