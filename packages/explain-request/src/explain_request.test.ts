import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {explainRequest, formatExplanation, parseLog} from './index.js';

const test = suite('explaining a request');

const START_MS = Date.parse('2026-03-01T18:00:00.000Z');

function writeLine(
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

const sentTo = (server: string, requestId = 'r1') =>
  writeLine('entry-1', 0, 'request-sent', {
    ...{requestId, backendServerId: server, attempt: 1},
  });

/*
 * A burst of requests for models that are not loaded: the node that schedules
 * refuses one since no engine will be free in time. Its lines are in the log
 * of another node than the one that the caller spoke with.
 */
test('names why the node that schedules refused', () => {
  const {verdict, own, related} = explain(
    'r1',
    writeLine('entry-2', 900, 'ask-decided', {
      ...{requestId: 'r1', decision: 'refuse', reason: 'no-room'},
      ...{model: 'm7', waitedMs: 900, waiting: 12},
    }),
    writeLine('entry-1', 902, 'request-finished', {
      ...{requestId: 'r1', result: 'refused', kind: 'not-warm'},
    }),
    writeLine('entry-2', 400, 'engine-ordered', {
      ...{backendServerId: 'e1', model: 'm7', outcome: 'conflict'},
    }),
    writeLine('entry-2', 400, 'engine-ordered', {
      ...{backendServerId: 'e1', model: 'm8', outcome: 'accepted'},
    }),
  );
  assert.is(verdict.result, 'refused');
  assert.match(verdict.cause, /entry-2.*no engine had room/);
  assert.is(own.length, 2);
  assert.is(related.length, 1);
});

test('names the server that left under a request', () => {
  const {verdict} = explain(
    'r1',
    sentTo('e1'),
    writeLine('entry-1', 500, 'attempt-ended', {
      ...{requestId: 'r1', backendServerId: 'e1', outcome: 'broken'},
      error: 'The connection broke.',
    }),
    writeLine('entry-1', 501, 'request-finished', {
      ...{requestId: 'r1', result: 'broken-off'},
    }),
    writeLine('entry-1', 1_900, 'server-changed', {
      ...{backendServerId: 'e1', state: 'gone'},
    }),
  );
  assert.is(verdict.result, 'broken-off');
  assert.match(verdict.cause, /e1 was gone/);
});

test('names a node that was killed', () => {
  const {verdict} = explain(
    'r1',
    sentTo('e1'),
    writeLine('entry-1', 1_500, 'node-started', {incarnation: 'b'}),
  );
  assert.is(verdict.result, 'unfinished');
  assert.match(verdict.cause, /entry-1 ended/);
});

test('says where a request was when its caller left', () => {
  const {verdict} = explain(
    'r1',
    sentTo('e1'),
    writeLine('entry-1', 2_400, 'attempt-ended', {
      ...{requestId: 'r1', backendServerId: 'e1', outcome: 'aborted'},
      headMs: null,
    }),
    writeLine('entry-1', 2_400, 'request-finished', {
      ...{requestId: 'r1', result: 'caller-gone', tookMs: 2_400},
    }),
  );
  assert.match(verdict.cause, /2400 ms; e1 had not begun/);
});

/*
 * A tag was sent late, since the node that schedules had fallen silent, and
 * ran out of time at a server that did nothing wrong.
 */
test('says what a request waited for when its time was over', () => {
  const {verdict} = explain(
    'r1',
    sentTo('e1'),
    writeLine('entry-1', 413, 'attempt-ended', {
      ...{requestId: 'r1', backendServerId: 'e1', outcome: 'aborted'},
      headMs: 44,
    }),
    writeLine('entry-1', 414, 'request-finished', {
      ...{requestId: 'r1', result: 'broken-off', kind: 'deadline-exceeded'},
      tookMs: 2_989,
    }),
  );
  assert.match(verdict.cause, /over after 2989 ms: it waited 2575 ms/);
  assert.match(verdict.cause, /e1 began to answer after 44 ms/);
});

/*
 * A server took a request at once and never answered. On call, somebody was sent
 * to look for a load or for the node that schedules.
 */
test('points at the server where a request hardly waited', () => {
  const {verdict} = explain(
    'r1',
    sentTo('e1'),
    writeLine('entry-1', 1_100, 'attempt-ended', {
      ...{requestId: 'r1', backendServerId: 'e1', outcome: 'aborted'},
    }),
    writeLine('entry-1', 1_100, 'request-finished', {
      ...{requestId: 'r1', result: 'refused', kind: 'deadline-exceeded'},
      tookMs: 1_102,
    }),
  );
  assert.match(verdict.advice, /log and the load of e1/);
});

/*
 * A node was killed in the middle of a line, and a collector put its own words
 * before each. Neither may hide what the other lines tell.
 */
test('half a line is counted and left out', () => {
  const whole = sentTo('e1');
  const {lines, skipped} = parseLog(
    [`18:00 host-1 ${whole}`, whole.slice(0, 40), 'no line at all'].join('\n'),
  );
  assert.is(lines.length, 1);
  assert.is(skipped, 1);
});

/*
 * A caller asks why it is refused at once. Its own request reached no server; the
 * servers ended under others with the same body, minutes before, at other nodes.
 */
test('names the ends under which a request was contained', () => {
  const explanation = explain(
    'r9',
    writeLine('entry-2', 0, 'attempt-ended', {
      ...{requestId: 'r1', backendServerId: 'e1', outcome: 'broken'},
      fingerprint: 'f00d',
    }),
    writeLine('entry-2', 1, 'attempt-ended', {
      ...{requestId: 'r2', backendServerId: 'e2', outcome: 'broken'},
      fingerprint: 'another',
    }),
    writeLine('entry-1', 500, 'request-contained', {
      ...{fingerprint: 'f00d', serverLives: ['e1', 'e7', 'e8']},
    }),
    writeLine('entry-1', 600_000, 'request-finished', {
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

// Guards against a refusal that nobody can tell from one for want of room.
test('names the quota or the key for which a request was refused', () => {
  const refused = {requestId: 'r1', result: 'refused'};
  const overQuota = explain(
    'r1',
    writeLine('entry-2', 0, 'quota-refused', {
      ...{requestId: 'r1', team: 'link', amount: 1_100, left: 40},
      ...{decidedBy: 'holder', retryAfterMs: 252},
    }),
    writeLine('entry-1', 1, 'request-finished', refused),
  );
  assert.match(overQuota.verdict.cause, /link had 40 .* counts 1100; entry-2/);
  assert.match(overQuota.verdict.advice, /252 ms/);
  const unknownKey = explain(
    'r1',
    writeLine('entry-1', 0, 'key-refused', {
      ...{requestId: 'r1', kind: 'unauthorized', configurationVersion: 7},
      ...{reason: 'The key is not known.', configurationAgeMs: 310},
    }),
    writeLine('entry-1', 1, 'request-finished', refused),
  );
  assert.match(unknownKey.verdict.cause, /configuration 7.* 310 ms.*not known/);
});

test('an unknown request is told apart', () => {
  assert.is(explainRequest('r2', parseLog(sentTo('e1')).lines), null);
});

test('what people read begins with the cause', () => {
  const text = formatExplanation(explain('r1', sentTo('e1')));
  assert.match(text, /^Request r1: unfinished\nCause: /);
  assert.match(text, /0 ms {2}entry-1 {2}request-sent/);
});

test.run();
