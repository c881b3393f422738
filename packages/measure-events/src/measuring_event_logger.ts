/** A logger that also measures what it is told. */
import {
  type EventFields,
  type EventLogger,
  type EventName,
  type FieldValue,
} from '@mimosatack/logger';
import {type Metrics} from '@mimosatack/metrics';

type Fields = Readonly<Record<string, FieldValue>>;

/** Takes the fields of one event into the metrics. */
type Measure = (metrics: Metrics, fields: Fields) => void;

/** What each event counts as; events that are not named count as nothing. */
const MEASURES: ReadonlyMap<EventName, Measure> = new Map<EventName, Measure>([
  ['request-finished', measureFinished],
  ['attempt-ended', measureAttempt],
  ['ask-decided', measureDecision],
  ['engine-ordered', measureOrder],
  [
    'key-refused',
    (metrics, {kind}) => metrics.count('keys.refused', {kind: toTag(kind)}),
  ],
  [
    'quota-refused',
    (metrics, {team, decidedBy}) =>
      metrics.count('quotas.refused', {
        ...{team: toTag(team), decidedBy: toTag(decidedBy)},
      }),
  ],
  [
    'dependency-lost',
    (metrics, {dependency}) =>
      metrics.count('dependencies.lost', {dependency: toTag(dependency)}),
  ],
  [
    'duty-holder-changed',
    (metrics, {isSelf}) =>
      metrics.count('duties.taken', {
        holder: isSelf === true ? 'self' : 'other',
      }),
  ],
  [
    'lines-dropped',
    (metrics, {count}) => metrics.count('logs.dropped', {}, toMs(count)),
  ],
]);

/** Measures each event, then logs it, whether or not the line is written. */
export class MeasuringEventLogger implements EventLogger {
  constructor(
    private readonly inner: EventLogger,
    private readonly metrics: Metrics,
  ) {}

  log<N extends EventName>(name: N, fields: EventFields<N>): void {
    MEASURES.get(name)?.(this.metrics, fields);
    this.inner.log(name, fields);
  }
}

function measureFinished(
  metrics: Metrics,
  {result, kind, tookMs}: Fields,
): void {
  const named = toTag(result);
  metrics.count('answers.finished', {result: named, kind: toTag(kind)});
  metrics.timing('answers.duration', toMs(tookMs), {result: named});
}

function measureAttempt(
  metrics: Metrics,
  {outcome, next, headMs}: Fields,
): void {
  metrics.count('attempts.ended', {outcome: toTag(outcome), next: toTag(next)});
  if (typeof headMs === 'number') metrics.timing('attempts.head', headMs, {});
}

function measureDecision(
  metrics: Metrics,
  {decision, reason, waitedMs}: Fields,
): void {
  const named = toTag(decision);
  metrics.count('schedule.decided', {decision: named, reason: toTag(reason)});
  metrics.timing('schedule.waited', toMs(waitedMs), {decision: named});
}

function measureOrder(
  metrics: Metrics,
  {operation, outcome, tookMs}: Fields,
): void {
  const named = toTag(operation);
  metrics.count('orders.sent', {operation: named, outcome: toTag(outcome)});
  metrics.timing('orders.duration', toMs(tookMs), {operation: named});
}

function toTag(value: FieldValue): string {
  return typeof value === 'string' ? value : '';
}

function toMs(value: FieldValue): number {
  return typeof value === 'number' ? value : 0;
}
