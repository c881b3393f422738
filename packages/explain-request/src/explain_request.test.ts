import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {explainRequest, formatExplanation, parseLog} from './index.js';

const test = suite('explaining a request');

const START_MS = Date.parse('2026-03-01T18:00:00.000Z');

function formatLogLine(
  nodeName: string,
  afterMs: number,
  eventName: string,
  fields: Readonly<Record<string, unknown>> = {},
): string {
  const time = new Date(START_MS + afterMs).toISOString();
  return JSON.stringify({nodeName, time, eventName, ...fields});
}

function explain(requestId: string, ...rows: string[]) {
  const explanation = explainRequest(
    requestId,
    parseLog(rows.join('\n')).lines,
  );
  if (!explanation) throw new Error('No line names the request.');
  return explanation;
}

const formatRequestSent = (server: string, requestId = 'r1') =>
  formatLogLine('entry-1', 0, 'request-sent', {
    ...{requestId, backendServerId: server, attempt: 1},
  });

// Guards against missing the reason when it is in the log of another node than
// the one that the caller connected to.
test('names the refusal reason of the scheduling node', () => {
  const {verdict, own, related} = explain(
    'r1',
    formatLogLine('entry-2', 900, 'ask-decided', {
      ...{requestId: 'r1', decision: 'refuse', reason: 'no-room'},
      ...{model: 'm7', waitedMs: 900, waiting: 12},
    }),
    formatLogLine('entry-1', 902, 'request-finished', {
      ...{requestId: 'r1', result: 'refused', kind: 'not-warm'},
    }),
    formatLogLine('entry-2', 400, 'engine-ordered', {
      ...{backendServerId: 'e1', model: 'm7', outcome: 'conflict'},
    }),
    formatLogLine('entry-2', 400, 'engine-ordered', {
      ...{backendServerId: 'e1', model: 'm8', outcome: 'accepted'},
    }),
  );
  assert.is(verdict.result, 'refused');
  assert.match(verdict.cause, /entry-2.*no engine had room/);
  assert.is(own.length, 2);
  assert.is(related.length, 1);
});

test('names the server that was lost during a request', () => {
  const {verdict} = explain(
    'r1',
    formatRequestSent('e1'),
    formatLogLine('entry-1', 500, 'attempt-ended', {
      ...{requestId: 'r1', backendServerId: 'e1', outcome: 'broken'},
      error: 'The connection broke.',
    }),
    formatLogLine('entry-1', 501, 'request-finished', {
      ...{requestId: 'r1', result: 'broken-off'},
    }),
    formatLogLine('entry-1', 1_900, 'server-changed', {
      ...{backendServerId: 'e1', state: 'gone'},
    }),
  );
  assert.is(verdict.result, 'broken-off');
  assert.match(verdict.cause, /e1 was gone/);
});

test('names a node that was killed', () => {
  const {verdict} = explain(
    'r1',
    formatRequestSent('e1'),
    formatLogLine('entry-1', 1_500, 'node-started', {incarnation: 'b'}),
  );
  assert.is(verdict.result, 'unfinished');
  assert.match(verdict.cause, /entry-1 ended/);
});

test('reports the state of a request when its caller left', () => {
  const {verdict} = explain(
    'r1',
    formatRequestSent('e1'),
    formatLogLine('entry-1', 2_400, 'attempt-ended', {
      ...{requestId: 'r1', backendServerId: 'e1', outcome: 'aborted'},
      headMs: null,
    }),
    formatLogLine('entry-1', 2_400, 'request-finished', {
      ...{requestId: 'r1', result: 'caller-gone', tookMs: 2_400},
    }),
  );
  assert.match(verdict.cause, /2400 ms; e1 had not begun/);
});

// Guards against blaming the backend server for a deadline that passed because
// the request was sent late.
test('reports the wait and the server state when the deadline passed', () => {
  const {verdict} = explain(
    'r1',
    formatRequestSent('e1'),
    formatLogLine('entry-1', 413, 'attempt-ended', {
      ...{requestId: 'r1', backendServerId: 'e1', outcome: 'aborted'},
      headMs: 44,
    }),
    formatLogLine('entry-1', 414, 'request-finished', {
      ...{requestId: 'r1', result: 'broken-off', kind: 'deadline-exceeded'},
      tookMs: 2_989,
    }),
  );
  assert.match(verdict.cause, /over after 2989 ms: it waited 2575 ms/);
  assert.match(verdict.cause, /e1 began to answer after 44 ms/);
});

// Guards against blaming the wait for a deadline that passed because the
// backend server did not respond.
test('points to the server when a request hardly waited', () => {
  const {verdict} = explain(
    'r1',
    formatRequestSent('e1'),
    formatLogLine('entry-1', 1_100, 'attempt-ended', {
      ...{requestId: 'r1', backendServerId: 'e1', outcome: 'aborted'},
    }),
    formatLogLine('entry-1', 1_100, 'request-finished', {
      ...{requestId: 'r1', result: 'refused', kind: 'deadline-exceeded'},
      tookMs: 1_102,
    }),
  );
  assert.match(verdict.advice, /log and the load of e1/);
});

// Guards against a truncated line or a collector's prefix hiding other lines.
test('a truncated line is counted and skipped', () => {
  const whole = formatRequestSent('e1');
  const {lines, skipped} = parseLog(
    [`18:00 host-1 ${whole}`, whole.slice(0, 40), 'no line at all'].join('\n'),
  );
  assert.is(lines.length, 1);
  assert.is(skipped, 1);
});

// Guards against missing the cause of a containment: crashes minutes before, at
// other nodes, under other ids of the same request.
test('names the server crashes that led to a containment', () => {
  const explanation = explain(
    'r9',
    formatLogLine('entry-2', 0, 'attempt-ended', {
      ...{requestId: 'r1', backendServerId: 'e1', outcome: 'broken'},
      fingerprint: 'f00d',
    }),
    formatLogLine('entry-2', 1, 'attempt-ended', {
      ...{requestId: 'r2', backendServerId: 'e2', outcome: 'broken'},
      fingerprint: 'another',
    }),
    formatLogLine('entry-1', 500, 'request-contained', {
      ...{fingerprint: 'f00d', serverLives: ['e1', 'e7', 'e8']},
    }),
    formatLogLine('entry-1', 600_000, 'request-finished', {
      ...{requestId: 'r9', result: 'refused', kind: 'contained'},
      fingerprint: 'f00d',
    }),
  );
  const {verdict, related} = explanation;
  assert.is(verdict.result, 'refused');
  assert.match(verdict.cause, /f00d: \["e1","e7","e8"\]/);
  assert.equal(
    related.map(({fields}) => fields['requestId']),
    ['r1', undefined],
  );
  const text = formatExplanation(explanation);
  assert.match(text, /attempt-ended {2}requestId=r1 /);
  assert.not.match(text, /requestId=r9/);
});

// Guards against confusing these refusals with a lack of capacity.
test('names the quota or the key that caused a refusal', () => {
  const refused = {requestId: 'r1', result: 'refused'};
  const overQuota = explain(
    'r1',
    formatLogLine('entry-2', 0, 'quota-refused', {
      ...{requestId: 'r1', team: 'link', amount: 1_100, left: 40},
      ...{decidedBy: 'holder', retryAfterMs: 252},
    }),
    formatLogLine('entry-1', 1, 'request-finished', refused),
  );
  assert.match(overQuota.verdict.cause, /link had 40 .* counts 1100; entry-2/);
  assert.match(overQuota.verdict.advice, /252 ms/);
  const unknownKey = explain(
    'r1',
    formatLogLine('entry-1', 0, 'key-refused', {
      ...{requestId: 'r1', kind: 'unauthorized', configurationVersion: 7},
      ...{reason: 'The key is not known.', configurationAgeMs: 310},
    }),
    formatLogLine('entry-1', 1, 'request-finished', refused),
  );
  assert.match(unknownKey.verdict.cause, /configuration 7.* 310 ms.*not known/);
  const unknownPath = explain(
    'r1',
    formatLogLine('entry-1', 0, 'route-not-found', {
      ...{requestId: 'r1', kind: 'not-found', configurationVersion: 11},
      ...{configurationAgeMs: 1_210, confirmedBy: 'entry-2'},
    }),
    formatLogLine('entry-1', 1, 'request-finished', refused),
  );
  assert.match(
    unknownPath.verdict.cause,
    /configuration 11.* 1210 ms.*entry-2/,
  );
});

test('an unknown request has no explanation', () => {
  assert.is(
    explainRequest('r2', parseLog(formatRequestSent('e1')).lines),
    null,
  );
});

test('the text begins with the result and the cause', () => {
  const text = formatExplanation(explain('r1', formatRequestSent('e1')));
  assert.match(text, /^Request r1: unfinished\nCause: /);
  assert.match(text, /0 ms {2}entry-1 {2}request-sent/);
});

test.run();
