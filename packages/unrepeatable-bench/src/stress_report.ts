/** Compares what callers were told with what the services truly ran. */
import {type Operation} from './stress_caller.js';

/** What came out for the requests with one form of key. */
export interface CallerTally {
  form: string;
  requests: number;
  ran: number;
  notRun: number;
  unknown: number;
  noAnswer: number;
  /** Of those without a known outcome, how many had run in truth. */
  unknownButRan: number;
  /** Violations. */
  secondRuns: number;
  falseNotRun: number;
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
      tally(
        form,
        operations.filter(operation => operation.form === form),
        runsById,
      ),
    ),
    tally('all', operations, runsById),
  ];
}

/** Whether anything happened that must never happen. */
export function hasViolation(tallies: readonly CallerTally[]): boolean {
  return tallies.some(
    ({secondRuns, falseNotRun, falseRan}) =>
      secondRuns + falseNotRun + falseRan > 0,
  );
}

/** How often each refusal was given, most frequent first. */
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

function tally(
  form: string,
  operations: readonly Operation[],
  runsById: ReadonlyMap<string, number>,
): CallerTally {
  const runsOf = ({id}: Operation) => runsById.get(id) ?? 0;
  const having = (word: Operation['lastWord']) =>
    operations.filter(({lastWord}) => lastWord === word);
  const open = [...having('unknown'), ...having('no-answer')];
  return {
    form,
    requests: operations.length,
    ran: having('ran').length,
    notRun: having('not-run').length,
    unknown: having('unknown').length,
    noAnswer: having('no-answer').length,
    unknownButRan: open.filter(one => runsOf(one) > 0).length,
    secondRuns: operations.filter(one => runsOf(one) > 1).length,
    falseNotRun: having('not-run').filter(one => runsOf(one) > 0).length,
    falseRan: having('ran').filter(one => runsOf(one) !== 1).length,
    unknownPercent: ((100 * open.length) / operations.length).toFixed(2),
  };
}
