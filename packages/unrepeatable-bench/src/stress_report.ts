/** Compares the outcomes reported to callers with the runs on the services. */
import {type Operation} from './stress_caller.js';

/** Counts of outcomes for the requests with one form of key. */
export interface CallerTally {
  form: string;
  requests: number;
  ran: number;
  notRun: number;
  unknown: number;
  noAnswer: number;
  /** Requests with outcome `unknown` or `no-answer` that did run. */
  unknownButRan: number;
  /** Violation: requests that ran more than once. */
  secondRuns: number;
  /** Violation: requests reported as `not-run` that ran. */
  falseNotRun: number;
  /** Violation: requests reported as `ran` that did not run exactly once. */
  falseRan: number;
  unknownPercent: string;
}

/** Tallies operations by the form of their key. */
export function tallyOutcomes(
  operations: readonly Operation[],
  runsById: ReadonlyMap<string, number>,
): CallerTally[] {
  const forms = ['ticket', 'own-key'] as const;
  return [
    ...forms.map(form =>
      tallyForm(
        form,
        operations.filter(operation => operation.form === form),
        runsById,
      ),
    ),
    tallyForm('all', operations, runsById),
  ];
}

/** Whether any request ran twice or was reported wrongly. */
export function hasViolation(tallies: readonly CallerTally[]): boolean {
  return tallies.some(
    ({secondRuns, falseNotRun, falseRan}) =>
      secondRuns + falseNotRun + falseRan > 0,
  );
}

/** The count of each refusal, most frequent first. */
export function countRefusals(
  operations: readonly Operation[],
): Array<[string, number]> {
  const counts = operations
    .flatMap(({form, refusals}) => refusals.map(kind => `${form}: ${kind}`))
    .reduce(
      (found, kind) => found.set(kind, (found.get(kind) ?? 0) + 1),
      new Map<string, number>(),
    );
  return [...counts].sort((first, second) => second[1] - first[1]);
}

function tallyForm(
  form: string,
  operations: readonly Operation[],
  runsById: ReadonlyMap<string, number>,
): CallerTally {
  const runsOf = ({id}: Operation) => runsById.get(id) ?? 0;
  const withOutcome = (word: Operation['lastWord']) =>
    operations.filter(({lastWord}) => lastWord === word);
  const undecided = [...withOutcome('unknown'), ...withOutcome('no-answer')];
  return {
    form,
    requests: operations.length,
    ran: withOutcome('ran').length,
    notRun: withOutcome('not-run').length,
    unknown: withOutcome('unknown').length,
    noAnswer: withOutcome('no-answer').length,
    unknownButRan: undecided.filter(one => runsOf(one) > 0).length,
    secondRuns: operations.filter(one => runsOf(one) > 1).length,
    falseNotRun: withOutcome('not-run').filter(one => runsOf(one) > 0).length,
    falseRan: withOutcome('ran').filter(one => runsOf(one) !== 1).length,
    unknownPercent: ((100 * undecided.length) / operations.length).toFixed(2),
  };
}
