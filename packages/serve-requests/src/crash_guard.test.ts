/** Guards against containing or clearing a request after the wrong outcome. */
import {TypedError} from '@mimosatack/errors';
import {type RequestSuspects} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type AttemptOutcome} from './attempt.js';
import {CrashGuard, type CrashWatch} from './crash_guard.js';
import {makeRequest, makeServer} from './test_fixtures.js';

const test = suite('crash guard');

const error = new TypedError('backend-failed', 'It failed.', {run: 'unknown'});

const SERVED: AttemptOutcome = {
  ...{status: 'answered', isSuccess: true, isDelimited: true},
};

class RecordingWatch implements CrashWatch {
  hasSuspects = true;
  readonly calls: string[] = [];

  isRequestContained = false;
  containedPart = '';
  isProbeDue = false;

  isPathSuspected(): boolean {
    return this.hasSuspects;
  }

  isSuspected(): boolean {
    return this.hasSuspects;
  }

  isContained(suspect: string): boolean {
    return this.isRequestContained || suspect === this.containedPart;
  }

  openProbe(): boolean {
    this.calls.push('claimed a probe');
    return this.isProbeDue;
  }

  endProbe(): void {
    this.calls.push('ended the probe');
  }

  recordConnectionLoss({parts}: RequestSuspects, serverLife: string): void {
    this.calls.push(['cut at', serverLife, ...parts].join(' '));
  }

  recordSuccess(): void {
    this.calls.push('served');
  }

  recordServedParts(): void {}
}

function recordOutcome(
  outcome: AttemptOutcome,
  watch = new RecordingWatch(),
): string[] {
  const server = makeServer({id: 'i-1', startedAtMs: 7});
  new CrashGuard(watch, makeRequest()).recordOutcome(outcome, server);
  return watch.calls;
}

test('a lost connection is recorded with the incarnation of the server', () => {
  assert.equal(
    recordOutcome({status: 'broken', error, isConnectionLost: true}),
    ['cut at i-1@7'],
  );
});

test('outcomes that show no crash are not recorded', () => {
  const outcomes: AttemptOutcome[] = [
    {status: 'broken', error, isConnectionLost: false},
    {status: 'refusing', error},
    {status: 'not-run', error, reason: 'not-taken'},
    {status: 'not-run', error, reason: 'unreachable'},
    {status: 'aborted', isSent: true},
  ];
  assert.equal(
    outcomes.flatMap(outcome => recordOutcome(outcome)),
    [],
  );
});

/* Guards against clearing a crashing request by an error sent before it ran. */
test('only a success clears the request', () => {
  assert.equal(recordOutcome(SERVED), ['served']);
  assert.equal(recordOutcome({...SERVED, isSuccess: false}), []);
});

// Guards against a server that crashes between two events of a stream without a length,
// which looks complete.
test('a success that ended with its connection clears nothing but a probed request', () => {
  const ended: AttemptOutcome = {...SERVED, isDelimited: false};
  assert.equal(recordOutcome(ended), []);
  const watch = new RecordingWatch();
  Object.assign(watch, {isRequestContained: true, isProbeDue: true});
  const guard = new CrashGuard(watch, makeRequest());
  guard.openProbe();
  guard.recordOutcome(ended, makeServer());
  assert.equal(watch.calls, ['claimed a probe', 'served', 'ended the probe']);
});

/* Guards against hashing every large body because of one suspected request. */
test('no body is read while no request with its path is suspected', () => {
  const watch = new RecordingWatch();
  watch.isPathSuspected = () => false;
  const request = makeRequest();
  Object.defineProperty(request, 'body', {
    get: () => assert.unreachable('the body was read'),
  });
  const guard = new CrashGuard(watch, request);
  assert.not(guard.isContained);
  guard.recordOutcome(SERVED, makeServer());
  assert.equal(watch.calls, []);
});

test('a success is not recorded while no request is suspected', () => {
  const watch = new RecordingWatch();
  watch.hasSuspects = false;
  assert.equal(recordOutcome(SERVED, watch), []);
});

/* Guards against a probe that crashes more than one server. */
test('a probe ends at the first server that may have run the request', () => {
  const watch = new RecordingWatch();
  Object.assign(watch, {isRequestContained: true, isProbeDue: true});
  const guard = new CrashGuard(watch, makeRequest());
  assert.ok(guard.isContained);
  guard.openProbe();
  assert.not(guard.isContained);
  guard.recordOutcome(
    {status: 'not-run', error, reason: 'unreachable'},
    makeServer(),
  );
  assert.not(guard.isContained);
  guard.recordOutcome(
    {status: 'broken', error, isConnectionLost: true},
    makeServer(),
  );
  assert.ok(guard.isContained);
  guard.endProbe();
  assert.equal(watch.calls, [
    'claimed a probe',
    'cut at i-1',
    'ended the probe',
  ]);
});

// Guards against probing with each copy when no result of a probe is known.
test('a probe without a known result delays the next one', () => {
  const outcomes: AttemptOutcome[] = [
    {status: 'aborted', isSent: true},
    {status: 'refusing', error},
    {status: 'broken', error, isConnectionLost: false},
    {...SERVED, isSuccess: false},
  ];
  outcomes.forEach(outcome => {
    const watch = new RecordingWatch();
    Object.assign(watch, {isRequestContained: true, isProbeDue: true});
    const guard = new CrashGuard(watch, makeRequest());
    guard.openProbe();
    guard.recordOutcome(outcome, makeServer());
    assert.equal(watch.calls, [
      'claimed a probe',
      'cut at i-1',
      'ended the probe',
    ]);
  });
});

function makePrompt(...ids: string[]) {
  const promptParts = ids.map(id => ({id, tokens: 1}));
  return makeRequest({
    generation: {
      ...{model: 'm0', adapter: null, promptTokens: 1, maxOutputTokens: 1},
      ...{expectedOutputTokens: null, promptParts},
    },
  });
}

// Guards against parts that are missed, or without bound, as callers may write any.
test('the parts of a prompt but the last are suspected, whatever they look like', () => {
  const listCutParts = (...ids: string[]) => {
    const watch = new RecordingWatch();
    new CrashGuard(watch, makePrompt(...ids)).recordOutcome(
      {status: 'broken', error, isConnectionLost: true},
      makeServer(),
    );
    return watch.calls.join().split(' ').slice(3);
  };
  assert.equal(listCutParts('5A', 'bad', '5a', '', 'e1'), [
    'part:5a',
    'part:bad',
  ]);
  assert.equal(listCutParts('e1'), []);
  assert.equal(listCutParts(), []);
  const many = Array.from({length: 500}, (_, at) => `${at}`);
  assert.is(listCutParts(...many).length, 64);
  const [long = ''] = listCutParts('f'.repeat(4_000), 'e1');
  assert.is(long.length, 'part:'.length + 32);
});

test('a request with a contained part may not be sent, nor hashed for it', () => {
  const watch = new RecordingWatch();
  watch.isPathSuspected = () => false;
  watch.containedPart = 'part:bad';
  const request = makePrompt('5a', 'bad', 'e1');
  Object.defineProperty(request, 'body', {
    get: () => assert.unreachable('the body was read'),
  });
  assert.equal(new CrashGuard(watch, request).containedSuspects, ['part:bad']);
  assert.not(new CrashGuard(watch, makePrompt('5a', 'bad')).isContained);
});

// Guards against a crash that is held against a request of which nothing was sent, for example
// because its caller left while the connection was opened.
test('a probe that was never sent shows no crash', () => {
  const watch = new RecordingWatch();
  watch.isRequestContained = true;
  watch.isProbeDue = true;
  const guard = new CrashGuard(watch, makeRequest());
  guard.openProbe();
  guard.recordOutcome({status: 'aborted', isSent: false}, makeServer());
  assert.equal(
    watch.calls.filter(call => call.startsWith('cut at')),
    [],
  );
});

test.run();
