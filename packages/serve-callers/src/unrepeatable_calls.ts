/** Which requests run at most once. */
import {type IncomingHttpHeaders} from 'node:http';
import {type AgreedState} from '@mimosatack/agreed-state';
import {type RunOutcome, TypedError} from '@mimosatack/errors';

/** A call of a plain service by a team. */
export interface TeamCall {
  team: string;
  service: string;
  call: string;
}

const HEADER = 'x-unrepeatable';

/** Whether the caller asks for it in a header; rejects other values. */
export function readUnrepeatable(headers: IncomingHttpHeaders): boolean {
  const value = headers[HEADER];
  if (value === undefined || value === 'false') return false;
  if (value === 'true') return true;
  throw new TypedError(
    'bad-request',
    `Header ${HEADER} must be true or false.`,
    {run: 'not-run'},
  );
}

/** Whether the service's document or an event of the team asks for it. */
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
 * What a refusal may say of a request whose key has not been looked up: with a
 * key, an earlier request may have run at any node.
 */
export function findRunBeforeKey(headers: IncomingHttpHeaders): RunOutcome {
  return headers['idempotency-key'] === undefined ? 'not-run' : 'unknown';
}
