/** Determines the result of a request and its most likely cause. */
import {type LogLine} from './parse_log.js';

/** The result of a request and its most likely cause. */
export interface Verdict {
  result: 'answered' | 'refused' | 'broken-off' | 'caller-gone' | 'unfinished';
  cause: string;
  /** What to check next. */
  advice: string;
}

/** A server state change within this time of a failure counts as its cause. */
const SERVER_CHANGE_WINDOW_MS = 3_000;

/** Events that record why a request was refused on arrival. */
const ADMISSION_REFUSAL_EVENTS: ReadonlySet<string> = new Set([
  'key-refused',
  'quota-refused',
  'route-not-found',
]);

/** Descriptions of the scheduling node's refusal reasons. */
const REFUSAL_REASONS: ReadonlyMap<unknown, string> = new Map([
  [
    'no-room',
    'no engine had room for the model, or could have loaded it, before the caller would have left',
  ],
  [
    'weights-remote',
    'no engine has the weights near, and fetching them takes longer than the caller waits',
  ],
  [
    'version-gone',
    'the stream began at a software version of which no engine is left',
  ],
  ['unknown-model', 'no configuration lists the model or the adapter'],
]);

/** Derives the verdict from the lines of a request and related lines. */
export function findVerdict(
  own: readonly LogLine[],
  related: readonly LogLine[],
): Verdict {
  const finished = own.findLast(
    ({eventName}) => eventName === 'request-finished',
  );
  if (!finished) return findUnfinished(own, related);
  switch (finished.fields['result']) {
    case 'answered':
      return findAnswered(own, finished);
    case 'caller-gone':
      return findCallerGone(own, finished);
    case 'refused':
      return findRefused(own, related, finished);
    default:
      return {
        result: 'broken-off',
        ...findAttemptCause(own, related, finished),
      };
  }
}

function findAnswered(own: readonly LogLine[], finished: LogLine): Verdict {
  const {tookMs, attempts} = finished.fields;
  const status = findLastAttempt(own)?.fields['status'];
  return {
    result: 'answered',
    cause: `The server's own answer (status ${formatValue(status)}) went to the caller after ${formatValue(tookMs)} ms and ${formatValue(attempts)} attempts.`,
    advice:
      Number(status) >= 500
        ? 'The server failed it by itself: look at its own log.'
        : 'If it was late, compare the times of the lines below.',
  };
}

function findCallerGone(own: readonly LogLine[], finished: LogLine): Verdict {
  const tookMs = formatValue(finished.fields['tookMs']);
  const sent = own.findLast(({eventName}) => eventName === 'request-sent');
  const attempt = findLastAttempt(own);
  if (!sent) {
    return {
      result: 'caller-gone',
      cause: `The caller left after ${tookMs} ms, while the request waited for a server.`,
      advice: 'See the orders for its model below: was it being loaded?',
    };
  }
  const server = formatValue(sent.fields['backendServerId']);
  const hasBegun = typeof attempt?.fields['headMs'] === 'number';
  return {
    result: 'caller-gone',
    cause: hasBegun
      ? `The caller left after ${tookMs} ms, in the middle of the answer of ${server}; ${computeWaitMs(own, finished)} ms of that it waited to be sent.`
      : `The caller left after ${tookMs} ms; ${server} had not begun to answer.`,
    advice: `Look at the log and the load of ${server} at that time.`,
  };
}

function findRefused(
  own: readonly LogLine[],
  related: readonly LogLine[],
  finished: LogLine,
): Verdict {
  const decided = own.findLast(
    ({eventName, fields}) =>
      eventName === 'ask-decided' && fields['decision'] === 'refuse',
  );
  const reason = REFUSAL_REASONS.get(decided?.fields['reason']);
  if (decided && reason !== undefined) {
    return {
      result: 'refused',
      cause: `${decided.nodeName}, which scheduled, refused it after ${formatValue(decided.fields['waitedMs'])} ms: ${reason}.`,
      advice: `See the orders for ${formatValue(decided.fields['model'])} below; ${formatValue(decided.fields['waiting'])} other requests waited.`,
    };
  }
  const admissionCause = findAdmissionRefusalCause(own);
  if (admissionCause) return {result: 'refused', ...admissionCause};
  if (finished.fields['kind'] === 'contained') {
    return {result: 'refused', ...findContainedCause(related, finished)};
  }
  if (findLastAttempt(own)) {
    return {result: 'refused', ...findAttemptCause(own, related, finished)};
  }
  return {
    result: 'refused',
    cause: `${finished.nodeName} refused it before any server was asked: ${formatValue(finished.fields['reason'])}`,
    advice: `docs/operators/refusals.md says what "${formatValue(finished.fields['kind'])}" means.`,
  };
}

/** Explains a refusal for an invalid key, an exceeded quota or a missing route. */
function findAdmissionRefusalCause(
  own: readonly LogLine[],
): Omit<Verdict, 'result'> | null {
  const line = own.findLast(({eventName}) =>
    ADMISSION_REFUSAL_EVENTS.has(eventName),
  );
  if (!line) return null;
  const {nodeName, fields} = line;
  if (line.eventName === 'route-not-found') {
    return {
      cause: `${nodeName} has no route for it in configuration ${formatValue(fields['configurationVersion'])}, known to be the newest ${formatValue(fields['configurationAgeMs'])} ms before by ${formatValue(fields['confirmedBy'])}.`,
      advice:
        'If a newer version has the route, the lines dependency-lost and dependency-regained of that node tell why it did not read it.',
    };
  }
  if (line.eventName === 'key-refused') {
    return {
      cause: `${nodeName} refused its key by configuration ${formatValue(fields['configurationVersion'])}, known to be the newest ${formatValue(fields['configurationAgeMs'])} ms before: ${formatValue(fields['reason'])}`,
      advice: 'docs/operators/teams.md says what to do about each reason.',
    };
  }
  return {
    cause: `The team ${formatValue(fields['team'])} had ${formatValue(fields['left'])} left of its quota, and the request counts ${formatValue(fields['amount'])}; ${nodeName} decided that as ${formatValue(fields['decidedBy'])}.`,
    advice: `The caller was told to come back after ${formatValue(fields['retryAfterMs'])} ms; raise the quota if the team is to be served more.`,
  };
}

/** Explains a refusal because backend servers crashed serving the request. */
function findContainedCause(
  related: readonly LogLine[],
  finished: LogLine,
): Omit<Verdict, 'result'> {
  const contained = related.find(
    ({eventName}) => eventName === 'request-contained',
  );
  const crashedServers = formatValue(contained?.fields['serverLives']);
  return {
    cause: `Servers had ended under the same request, or under others with the same part of their prompts, whose fingerprint is ${formatValue(finished.fields['fingerprint'])}: ${crashedServers}.`,
    advice:
      'The lines attempt-ended with that fingerprint or part name the ids under which they did. Tell its caller, or mend the servers.',
  };
}

/** Explains a request whose last attempt failed. */
function findAttemptCause(
  own: readonly LogLine[],
  related: readonly LogLine[],
  finished: LogLine,
): Omit<Verdict, 'result'> {
  const attempt = findLastAttempt(own);
  if (!attempt) {
    return {
      cause: `It ended with: ${formatValue(finished.fields['reason'])}`,
      advice: 'Look at the lines of its node below.',
    };
  }
  const {backendServerId, error, outcome} = attempt.fields;
  const server = formatValue(backendServerId);
  if (finished.fields['kind'] === 'deadline-exceeded') {
    return findDeadlineCause(own, finished, server);
  }
  const change = related.find(
    ({eventName, fields, atMs}) =>
      eventName === 'server-changed' &&
      fields['backendServerId'] === backendServerId &&
      fields['state'] !== 'ready' &&
      Math.abs(atMs - attempt.atMs) <= SERVER_CHANGE_WINDOW_MS,
  );
  const changed = change
    ? ` The list told that ${server} was ${formatValue(change.fields['state'])} within ${SERVER_CHANGE_WINDOW_MS / 1_000} s of that.`
    : '';
  return {
    cause: `The attempt at ${server} ended as "${formatValue(outcome)}": ${formatValue(error)}${changed}`,
    advice: change
      ? `${server} left or was lost: nothing is wrong with the node.`
      : `Look at the log of ${server}, and at other requests to it at that time.`,
  };
}

/** From this share of its time on, waiting counts as the cause of a timeout. */
const MIN_WAIT_SHARE = 0.5;

/** Explains a request whose deadline passed before the response ended. */
function findDeadlineCause(
  own: readonly LogLine[],
  finished: LogLine,
  server: string,
): Omit<Verdict, 'result'> {
  const waitedMs = computeWaitMs(own, finished);
  const tookMs = Number(finished.fields['tookMs'] ?? 0);
  const headMs = findLastAttempt(own)?.fields['headMs'];
  const state =
    typeof headMs === 'number'
      ? `began to answer after ${headMs} ms and was not done`
      : 'had not begun to answer';
  return {
    cause: `Its time was over after ${formatValue(finished.fields['tookMs'])} ms: it waited ${waitedMs} ms to be sent, and ${server} ${state}.`,
    advice:
      waitedMs >= MIN_WAIT_SHARE * tookMs
        ? 'See below what it waited for: an order for its model, or a node that schedules.'
        : `Look at the log and the load of ${server} at that time.`,
  };
}

/** Time from the arrival of a request until it was sent to a server. */
function computeWaitMs(own: readonly LogLine[], finished: LogLine): number {
  const sent = own.find(({eventName}) => eventName === 'request-sent');
  const tookMs = Number(finished.fields['tookMs'] ?? 0);
  return sent ? Math.max(0, tookMs - (finished.atMs - sent.atMs)) : tookMs;
}

/** Explains a request without a final line, as a killed node leaves it. */
function findUnfinished(
  own: readonly LogLine[],
  related: readonly LogLine[],
): Verdict {
  const last = own.at(-1);
  const restart = related.find(
    ({eventName, nodeName, atMs}) =>
      eventName === 'node-started' &&
      nodeName === last?.nodeName &&
      atMs > last.atMs,
  );
  return restart
    ? {
        result: 'unfinished',
        cause: `${restart.nodeName} ended without its last words and was started again, while the request was being served.`,
        advice: 'Ask who ended the process, or whether its host was lost.',
      }
    : {
        result: 'unfinished',
        cause:
          'No line tells its end: its node still serves it, was killed, or its log is not complete.',
        advice: 'Give the logs of all nodes, and look for lines-dropped.',
      };
}

function findLastAttempt(own: readonly LogLine[]): LogLine | undefined {
  return own.findLast(({eventName}) => eventName === 'attempt-ended');
}

function formatValue(value: unknown): string {
  if (value === undefined || value === null) return 'unknown';
  return typeof value === 'string' ? value : JSON.stringify(value);
}
