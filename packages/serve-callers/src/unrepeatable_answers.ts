/** Answers to requests that run at most once, own ones and relayed ones. */
import {type WholeAnswer} from '@mimosatack/dispatch-requests';
import {TypedError} from '@mimosatack/errors';
import {
  type InheritedVerdict,
  type KeptAnswer,
  type KeyedAnswer,
  makeAnswerNotKept,
  makeKeyReused,
  makeOutcomeUnknown,
} from '@mimosatack/unrepeatable';
import {type UnrepeatableAnswer} from './unrepeatable_request.js';

/** The part of a relayed refusal that matters here. */
interface RelayedError {
  kind: string;
  run?: string;
}

const REPLAY_HEADER = 'idempotent-replayed';
/** Tells an answer of the backend server from a refusal of the system. */
const OUTCOME_HEADER = 'x-run-outcome';
const RELAYED_HEADERS = ['retry-after', REPLAY_HEADER, OUTCOME_HEADER];
/** Refusals of a node that has no log, or does not know the caller yet. */
const NO_VERDICT_KINDS = [
  'unauthorized',
  'forbidden',
  'not-found',
  'log-unavailable',
  'shutting-down',
];

/** An answer of this node. */
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

/** An answer of another node, passed on as it is. */
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

/** Whether a relayed answer is one of the system's, not of its library. */
export function isTyped(relayed: UnrepeatableAnswer): boolean {
  return hasOutcome(relayed) || readError(relayed) !== null;
}

/** Takes no refusal of another node, only an answer. */
export function refuseUnlessRan(
  relayed: UnrepeatableAnswer,
): UnrepeatableAnswer {
  if (hasOutcome(relayed)) return relayed;
  throw makeOutcomeUnknown('The keeper of the key has no answer.');
}

/**
 * A keeper that could not look the key up has handed nothing over, which the
 * error says by `not-run`; of earlier requests it knows nothing.
 */
export function refuseIfNoVerdict(
  relayed: UnrepeatableAnswer,
): UnrepeatableAnswer {
  const error = readError(relayed);
  const isVerdict = error !== null && !isBeforeKey(error);
  if (hasOutcome(relayed) || isVerdict) return relayed;
  throw new TypedError('platform-unavailable', 'The keeper is of no help.', {
    run: 'not-run',
  });
}

/** The answer that a known key gets, or its refusal. */
export function readVerdict(verdict: InheritedVerdict): KeptAnswer {
  switch (verdict.status) {
    case 'ran':
      if (verdict.answer === null) throw makeAnswerNotKept();
      return verdict.answer;
    case 'key-reused':
      throw makeKeyReused();
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
      throw makeOutcomeUnknown('The key belongs to a process that is gone.');
    case 'unknown':
      throw makeOutcomeUnknown('The outcome of this key is not known.');
  }
}

function hasOutcome({headers}: UnrepeatableAnswer): boolean {
  return headers[OUTCOME_HEADER] !== undefined;
}

/** A node that starts refuses all, and can't say that the key did not run. */
function isBeforeKey({kind, run}: RelayedError): boolean {
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
