/** Names the cause of what became of a request. */
import {type LogLine} from './parse_log.js';

/** What became of it, and the most likely cause. */
export interface Verdict {
  result: 'answered' | 'refused' | 'broken-off' | 'caller-gone' | 'unfinished';
  cause: string;
  /** Where to look next. */
  advice: string;
}

/** A server that changed this near to a failure is taken for its cause. */
const NEAR_MS = 3_000;

/** Events that tell why a request was not let in. */
const BARRING_EVENTS: ReadonlySet<string> = new Set([
  'key-refused',
  'quota-refused',
]);

/** Reasons of the node that schedules, in words. */
const REASONS: ReadonlyMap<unknown, string> = new Map([
  [
    'no-room',
    'no engine had room for the model, or could have loaded it, before the caller would have left',
  ],
  [
    'weights-remote',
    'no engine has the weights near, and fetching them takes longer than the caller waits',
  ],
  ['unknown-model', 'no configuration lists the model or the adapter'],
]);

/** Finds the verdict by a request's own lines and those around it. */
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
    cause: `The server's own answer (status ${show(status)}) went to the caller after ${show(tookMs)} ms and ${show(attempts)} attempts.`,
    advice:
      Number(status) >= 500
        ? 'The server failed it by itself: look at its own log.'
        : 'If it was late, compare the times of the lines below.',
  };
}

function findCallerGone(own: readonly LogLine[], finished: LogLine): Verdict {
  const tookMs = show(finished.fields['tookMs']);
  const sent = own.findLast(({eventName}) => eventName === 'request-sent');
  const attempt = findLastAttempt(own);
  if (!sent) {
    return {
      result: 'caller-gone',
      cause: `The caller left after ${tookMs} ms, while the request waited for a server.`,
      advice: 'See the orders for its model below: was it being loaded?',
    };
  }
  const server = show(sent.fields['backendServerId']);
  const hasBegun = typeof attempt?.fields['headMs'] === 'number';
  return {
    result: 'caller-gone',
    cause: hasBegun
      ? `The caller left after ${tookMs} ms, in the middle of the answer of ${server}; ${findWaitMs(own, finished)} ms of that it waited to be sent.`
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
  const reason = REASONS.get(decided?.fields['reason']);
  if (decided && reason !== undefined) {
    return {
      result: 'refused',
      cause: `${decided.nodeName}, which scheduled, refused it after ${show(decided.fields['waitedMs'])} ms: ${reason}.`,
      advice: `See the orders for ${show(decided.fields['model'])} below; ${show(decided.fields['waiting'])} other requests waited.`,
    };
  }
  const barred = findBarredCause(own);
  if (barred) return {result: 'refused', ...barred};
  if (finished.fields['kind'] === 'contained') {
    return {result: 'refused', ...findContainedCause(related, finished)};
  }
  if (findLastAttempt(own)) {
    return {result: 'refused', ...findAttemptCause(own, related, finished)};
  }
  return {
    result: 'refused',
    cause: `${finished.nodeName} refused it before any server was asked: ${show(finished.fields['reason'])}`,
    advice: `docs/operators/refusals.md says what "${show(finished.fields['kind'])}" means.`,
  };
}

/** Of a request that was refused for its key, or beyond its team's quota. */
function findBarredCause(
  own: readonly LogLine[],
): Omit<Verdict, 'result'> | null {
  const line = own.findLast(({eventName}) => BARRING_EVENTS.has(eventName));
  if (!line) return null;
  const {nodeName, fields} = line;
  if (line.eventName === 'key-refused') {
    return {
      cause: `${nodeName} refused its key by configuration ${show(fields['configurationVersion'])}, known to be the newest ${show(fields['configurationAgeMs'])} ms before: ${show(fields['reason'])}`,
      advice: 'docs/operators/teams.md says what to do about each reason.',
    };
  }
  return {
    cause: `The team ${show(fields['team'])} had ${show(fields['left'])} left of its quota, and the request counts ${show(fields['amount'])}; ${nodeName} decided that as ${show(fields['decidedBy'])}.`,
    advice: `The caller was told to come back after ${show(fields['retryAfterMs'])} ms; raise the quota if the team is to be served more.`,
  };
}

/** Of a request that is sent to no server, since servers have ended under it. */
function findContainedCause(
  related: readonly LogLine[],
  finished: LogLine,
): Omit<Verdict, 'result'> {
  const contained = related.find(
    ({eventName}) => eventName === 'request-contained',
  );
  const lives = show(contained?.fields['serverLives']);
  return {
    cause: `Servers had ended under the same request, whose fingerprint is ${show(finished.fields['fingerprint'])}: ${lives}.`,
    advice:
      'The lines attempt-ended below name the ids under which they did. Tell its caller, or mend the servers.',
  };
}

/** Of a request whose last attempt failed. */
function findAttemptCause(
  own: readonly LogLine[],
  related: readonly LogLine[],
  finished: LogLine,
): Omit<Verdict, 'result'> {
  const attempt = findLastAttempt(own);
  if (!attempt) {
    return {
      cause: `It ended with: ${show(finished.fields['reason'])}`,
      advice: 'Look at the lines of its node below.',
    };
  }
  const {backendServerId, error, outcome} = attempt.fields;
  const server = show(backendServerId);
  if (finished.fields['kind'] === 'deadline-exceeded') {
    return findOverdueCause(own, finished, server);
  }
  const change = related.find(
    ({eventName, fields, atMs}) =>
      eventName === 'server-changed' &&
      fields['backendServerId'] === backendServerId &&
      fields['state'] !== 'ready' &&
      Math.abs(atMs - attempt.atMs) <= NEAR_MS,
  );
  const changed = change
    ? ` The list told that ${server} was ${show(change.fields['state'])} within ${NEAR_MS / 1_000} s of that.`
    : '';
  return {
    cause: `The attempt at ${server} ended as "${show(outcome)}": ${show(error)}${changed}`,
    advice: change
      ? `${server} left or was lost: nothing is wrong with the node.`
      : `Look at the log of ${server}, and at other requests to it at that time.`,
  };
}

/** A request that waited for so much of its time was late by its waiting. */
const WAITED_PART = 0.5;

/** Of a request whose time was over before its answer was whole. */
function findOverdueCause(
  own: readonly LogLine[],
  finished: LogLine,
  server: string,
): Omit<Verdict, 'result'> {
  const waitedMs = findWaitMs(own, finished);
  const tookMs = Number(finished.fields['tookMs'] ?? 0);
  const headMs = findLastAttempt(own)?.fields['headMs'];
  const state =
    typeof headMs === 'number'
      ? `began to answer after ${headMs} ms and was not done`
      : 'had not begun to answer';
  return {
    cause: `Its time was over after ${show(finished.fields['tookMs'])} ms: it waited ${waitedMs} ms to be sent, and ${server} ${state}.`,
    advice:
      waitedMs >= WAITED_PART * tookMs
        ? 'See below what it waited for: an order for its model, or a node that schedules.'
        : `Look at the log and the load of ${server} at that time.`,
  };
}

/** How long a request was there before it was sent. */
function findWaitMs(own: readonly LogLine[], finished: LogLine): number {
  const sent = own.find(({eventName}) => eventName === 'request-sent');
  const tookMs = Number(finished.fields['tookMs'] ?? 0);
  return sent ? Math.max(0, tookMs - (finished.atMs - sent.atMs)) : tookMs;
}

/** A node that was killed writes no last line of what it served. */
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

function show(value: unknown): string {
  if (value === undefined || value === null) return 'unknown';
  return typeof value === 'string' ? value : JSON.stringify(value);
}
