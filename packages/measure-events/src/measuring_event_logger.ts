/** Derives metrics from log events. */
import {
  type EventFields,
  type EventLogger,
  type EventName,
  type FieldValue,
} from '@mimosatack/logger';
import {type Metrics} from '@mimosatack/metrics';
import {TeamTags} from './team_tags.js';

type Fields = Readonly<Record<string, FieldValue>>;

type MetricsUpdate = (metrics: Metrics, fields: Fields) => void;

/** Metrics by event; an event without an entry updates no metric. */
const UPDATES_BY_EVENT: ReadonlyMap<EventName, MetricsUpdate> = new Map<
  EventName,
  MetricsUpdate
>([
  ['request-finished', recordFinished],
  ['request-sent', recordSent],
  ['attempt-ended', recordAttempt],
  [
    'relay-ended',
    (metrics, {endedBy}) =>
      metrics.count('servers.relays_ended', {endedBy: toTag(endedBy)}),
  ],
  ['retry-decided', recordRetry],
  [
    'stream-origin-found',
    (metrics, {source}) =>
      metrics.count('streams.resumed', {source: toTag(source)}),
  ],
  ['ask-decided', recordDecision],
  ['engine-ordered', recordOrder],
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
    (metrics, {count}) => metrics.count('logs.dropped', {}, toNumber(count)),
  ],
]);

/** Costs by team, of which only the largest are named. */
const SHARE_METRICS: ReadonlyMap<
  EventName,
  'shares.served_cost' | 'shares.refused_cost'
> = new Map([
  ['share-used', 'shares.served_cost'],
  ['share-refused', 'shares.refused_cost'],
]);

/** Updates metrics also for events that the log level suppresses. */
export class MetricsEventLogger implements EventLogger {
  private readonly teamTags = new TeamTags();

  constructor(
    private readonly inner: EventLogger,
    private readonly metrics: Metrics,
  ) {}

  log<N extends EventName>(name: N, fields: EventFields<N>): void {
    this.recordShare(name, fields);
    UPDATES_BY_EVENT.get(name)?.(this.metrics, fields);
    this.inner.log(name, fields);
  }

  private recordShare(name: EventName, {team, cost}: Fields): void {
    const metric = SHARE_METRICS.get(name);
    if (!metric) return;
    const amount = toNumber(cost);
    const tag = this.teamTags.record(toTag(team), amount);
    this.metrics.count(metric, {team: tag}, amount);
  }
}

function recordFinished(
  metrics: Metrics,
  {result, kind, tookMs}: Fields,
): void {
  const tag = toTag(result);
  metrics.count('answers.finished', {result: tag, kind: toTag(kind)});
  metrics.timing('answers.duration', toNumber(tookMs), {result: tag});
}

function recordSent(metrics: Metrics, {fingerprint, isProbe}: Fields): void {
  if (fingerprint === undefined) return;
  const reason = isProbe === true ? 'probe' : 'suspected';
  metrics.count('containment.sent', {reason});
}

function recordAttempt(
  metrics: Metrics,
  {outcome, next, headMs}: Fields,
): void {
  metrics.count('attempts.ended', {outcome: toTag(outcome), next: toTag(next)});
  if (typeof headMs === 'number') metrics.timing('attempts.head', headMs, {});
}

function recordRetry(metrics: Metrics, {service, isAllowed}: Fields): void {
  const decision = isAllowed === true ? 'allowed' : 'held-back';
  metrics.count('retries.decided', {service: toTag(service), decision});
}

function recordDecision(
  metrics: Metrics,
  {decision, reason, waitedMs}: Fields,
): void {
  const tag = toTag(decision);
  metrics.count('schedule.decided', {decision: tag, reason: toTag(reason)});
  metrics.timing('schedule.waited', toNumber(waitedMs), {decision: tag});
}

function recordOrder(
  metrics: Metrics,
  {operation, outcome, tookMs}: Fields,
): void {
  const tag = toTag(operation);
  metrics.count('orders.sent', {operation: tag, outcome: toTag(outcome)});
  metrics.timing('orders.duration', toNumber(tookMs), {operation: tag});
}

function toTag(value: FieldValue): string {
  return typeof value === 'string' ? value : '';
}

function toNumber(value: FieldValue): number {
  return typeof value === 'number' ? value : 0;
}
