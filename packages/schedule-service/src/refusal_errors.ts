/** The errors of requests that the scheduling node refuses. */
import {TypedError} from '@mimosatack/errors';
import {type ServerAsk} from '@mimosatack/serve-requests';
import {type QuotaCharge} from '@mimosatack/team-quotas';
import {type FromHolderMessage} from './messages.js';

const MIN_RETRY_AFTER_MS = 500;
/** Another node has taken over by then in most cases. */
const NO_TURN_RETRY_AFTER_MS = 1_000;

export function makeRefusalError(
  {reason, retryAfterMs}: Extract<FromHolderMessage, {type: 'refused'}>,
  {charge, service}: ServerAsk,
): TypedError {
  if (reason === 'over-quota') return makeOverQuotaError(charge, retryAfterMs);
  if (!service.engine) {
    return makeNoPlaceError(retryAfterMs);
  }
  return new TypedError('not-warm', `No engine can serve it now: ${reason}.`, {
    run: 'not-run',
    retryAfterMs: Math.max(retryAfterMs, MIN_RETRY_AFTER_MS),
    info: {reason},
  });
}

export function makeNoPlaceError(retryAfterMs: number): TypedError {
  return new TypedError('overloaded', 'No place is free in time.', {
    ...{run: 'not-run', retryAfterMs, info: {reason: 'no-room'}},
  });
}

export function makeNoTurnError(): TypedError {
  return new TypedError(
    'overloaded',
    'No node schedules, and no place is free.',
    {run: 'not-run', retryAfterMs: NO_TURN_RETRY_AFTER_MS},
  );
}

export function makeOverQuotaError(
  charge: QuotaCharge | null,
  retryAfterMs: number,
): TypedError {
  const team = charge?.team ?? '';
  return new TypedError(
    'rate-limited',
    `The team ${team} has used up its quota.`,
    {run: 'not-run', retryAfterMs, info: {team, amount: charge?.amount}},
  );
}
