/** Decides which calls run at most once. */
import {type IncomingHttpHeaders} from 'node:http';
import {type AgreedState} from '@mimosatack/agreed-state';
import {type RunOutcome, TypedError} from '@mimosatack/errors';

export interface TeamCall {
  team: string;
  service: string;
  call: string;
}

const UNREPEATABLE_HEADER = 'x-unrepeatable';

/** Reads the caller's header; throws `bad-request` if invalid. */
export function readUnrepeatable(headers: IncomingHttpHeaders): boolean {
  const value = headers[UNREPEATABLE_HEADER];
  if (value === undefined || value === 'false') return false;
  if (value === 'true') return true;
  throw new TypedError(
    'bad-request',
    `Header ${UNREPEATABLE_HEADER} must be true or false.`,
    {run: 'not-run'},
  );
}

/** Reads the service's document and the active events of the team. */
export function isUnrepeatableCall(
  {team, service, call}: TeamCall,
  {configuration}: AgreedState,
  nowMs: number,
): boolean {
  const content = configuration.find('service', service)?.content;
  if (content?.calls[call]?.unrepeatable) return true;
  return configuration
    .listEvents()
    .filter(event => event.team === team)
    .filter(event => event.startsAtMs <= nowMs && nowMs < event.endsAtMs)
    .some(event =>
      event.unrepeatable.some(
        listed => listed.service === service && listed.call === call,
      ),
    );
}

/**
 * The outcome to report in a refusal before the key lookup: an earlier request
 * with the key may have run at any node.
 */
export function findRunBeforeKeyLookup(
  headers: IncomingHttpHeaders,
): RunOutcome {
  return headers['idempotency-key'] === undefined ? 'not-run' : 'unknown';
}
