/** Errors of requests for which no server is chosen. */
import {TypedError} from '@mimosatack/errors';
import {type QuotaCharge} from '@mimosatack/team-quotas';
import {type FromHolderMessage} from './messages.js';

const RETRY_AFTER_MS = 1_000;

export function makeRefusalError(
  {reason, retryAfterMs}: Extract<FromHolderMessage, {type: 'refused'}>,
  charge: QuotaCharge | null,
): TypedError {
  if (reason === 'over-quota') return makeOverQuotaError(charge, retryAfterMs);
  return new TypedError('not-warm', `No engine can serve it now: ${reason}.`, {
    run: 'not-run',
    retryAfterMs: Math.max(retryAfterMs, RETRY_AFTER_MS / 2),
    info: {reason},
  });
}

export function makeNoTurnError(): TypedError {
  return new TypedError(
    'overloaded',
    'No node schedules, and no place is free.',
    {
      run: 'not-run',
      retryAfterMs: RETRY_AFTER_MS,
    },
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
