/** Converts local and relayed answers to requests that run at most once. */
import {type WholeAnswer} from '@mimosatack/dispatch-requests';
import {TypedError} from '@mimosatack/errors';
import {
  type InheritedVerdict,
  type KeptAnswer,
  type KeyedAnswer,
  makeAnswerNotKeptError,
  makeKeyReusedError,
  makeOutcomeUnknownError,
} from '@mimosatack/unrepeatable';
import {type UnrepeatableAnswer} from './unrepeatable_request.js';

interface RelayedError {
  kind: string;
  run?: string;
}

const REPLAY_HEADER = 'idempotent-replayed';
/** Present on answers of a backend server, absent on a node's refusals. */
const OUTCOME_HEADER = 'x-run-outcome';
const RELAYED_HEADERS = ['retry-after', REPLAY_HEADER, OUTCOME_HEADER];
/** Refusals by a node that could not look up the key. */
const NO_VERDICT_KINDS = [
  'unauthorized',
  'forbidden',
  'not-found',
  'log-unavailable',
  'shutting-down',
];

/** Converts an answer of this node. */
export function toAnswer({answer, isReplay}: KeyedAnswer): UnrepeatableAnswer {
  return {
    answer,
    isReplay,
    headers: {
      [OUTCOME_HEADER]: 'ran',
      ...(isReplay ? {[REPLAY_HEADER]: 'true'} : {}),
    },
  };
}

/** Converts an answer of another node, which is passed on unchanged. */
export function relayAnswer({
  headers,
  ...answer
}: WholeAnswer): UnrepeatableAnswer {
  const kept = RELAYED_HEADERS.flatMap(name => {
    const value = headers[name];
    return typeof value === 'string' ? [[name, value] as const] : [];
  });
  return {
    answer,
    isReplay: headers[REPLAY_HEADER] === 'true',
    headers: Object.fromEntries(kept),
  };
}

/** Whether node code produced the answer, rather than its HTTP library. */
export function isNodeAnswer(relayed: UnrepeatableAnswer): boolean {
  return hasRunOutcome(relayed) || readError(relayed) !== null;
}

/** Throws `outcome-unknown` unless the request ran. */
export function requireRunOutcome(
  relayed: UnrepeatableAnswer,
): UnrepeatableAnswer {
  if (hasRunOutcome(relayed)) return relayed;
  throw makeOutcomeUnknownError('The keeper of the key has no answer.');
}

/**
 * Throws when the owner could not look up the key. The `not-run` of this error
 * covers the forwarded attempt only: an earlier request may have run.
 */
export function requireVerdict(
  relayed: UnrepeatableAnswer,
): UnrepeatableAnswer {
  const error = readError(relayed);
  const isVerdict = error !== null && !isBeforeKeyLookup(error);
  if (hasRunOutcome(relayed) || isVerdict) return relayed;
  throw new TypedError('platform-unavailable', 'The keeper is of no help.', {
    run: 'not-run',
  });
}

/** Returns the recorded answer, or throws the error for the verdict. */
export function readVerdict(verdict: InheritedVerdict): KeptAnswer {
  switch (verdict.status) {
    case 'ran':
      if (verdict.answer === null) throw makeAnswerNotKeptError();
      return verdict.answer;
    case 'key-reused':
      throw makeKeyReusedError();
    case 'never-run':
      throw new TypedError(
        'shutting-down',
        'The node that the key belonged to stopped before it ran the key.',
        {
          run: 'not-run',
          remedy: 'Send it with a new key, under a keyPrefix of /v1/entries.',
        },
      );
    case 'no-table':
      throw makeOutcomeUnknownError(
        'The key belongs to a process that is gone.',
      );
    case 'unknown':
      throw makeOutcomeUnknownError('The outcome of this key is not known.');
  }
}

function hasRunOutcome({headers}: UnrepeatableAnswer): boolean {
  return headers[OUTCOME_HEADER] !== undefined;
}

/** A starting node refuses keyed requests as `overloaded` without `not-run`. */
function isBeforeKeyLookup({kind, run}: RelayedError): boolean {
  const isStarting = kind === 'overloaded' && run !== 'not-run';
  return isStarting || NO_VERDICT_KINDS.includes(kind);
}

function readError({answer}: UnrepeatableAnswer): RelayedError | null {
  try {
    const text = Buffer.from(answer.body).toString();
    const json = JSON.parse(text) as {error?: Partial<RelayedError>} | null;
    const {kind, run} = json?.error ?? {};
    return typeof kind === 'string' ? {kind, run} : null;
  } catch {
    return null;
  }
}
