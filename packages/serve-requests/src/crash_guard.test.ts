/** Which ends of an attempt tell for or against a request. */
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type AttemptOutcome} from './attempt.js';
import {CrashGuard, type CrashWatch} from './crash_guard.js';
import {makeRequest, makeServer} from './test_fixtures.js';

const test = suite('what an attempt tells of its request');

const error = new TypedError('backend-failed', 'It failed.', {run: 'unknown'});

/** Keeps what it is told. */
class RecordingWatch implements CrashWatch {
  isWatching = true;
  readonly told: string[] = [];

  isKnown = false;
  isTryDue = false;

  isPathWatched(): boolean {
    return this.isWatching;
  }

  isContained(): boolean {
    return this.isKnown;
  }

  claimTry(): boolean {
    this.told.push('asked for a try');
    return this.isTryDue;
  }

  endTry(): void {
    this.told.push('ended the try');
  }

  noteCut(_fingerprint: string, serverLife: string): void {
    this.told.push(`cut at ${serverLife}`);
  }

  noteServed(): void {
    this.told.push('served');
  }
}

function tell(outcome: AttemptOutcome, watch = new RecordingWatch()): string[] {
  const server = makeServer({id: 'i-1', startedAtMs: 7});
  new CrashGuard(watch, makeRequest()).note(outcome, server);
  return watch.told;
}

test('a connection that is cut tells against it, with the life of the server', () => {
  assert.equal(tell({status: 'broken', error, isCut: true}), ['cut at i-1@7']);
});

test('what does not show that a server ended tells nothing', () => {
  const outcomes: AttemptOutcome[] = [
    {status: 'broken', error, isCut: false},
    {status: 'refusing', error},
    {status: 'not-run', error, reason: 'not-taken'},
    {status: 'not-run', error, reason: 'unreachable'},
    {status: 'aborted'},
  ];
  assert.equal(
    outcomes.flatMap(outcome => tell(outcome)),
    [],
  );
});

/*
 * A request that crashes servers waits in the queue of one until its time is over
 * and is answered with a failure. It has not begun to run there; were it cleared
 * by that, it would end three more servers.
 */
test('only a success clears it', () => {
  assert.equal(tell({status: 'answered', isSuccess: true}), ['served']);
  assert.equal(tell({status: 'answered', isSuccess: false}), []);
});

/* Bodies are large; one suspected request must not cost all others a hash. */
test('no body is read while nobody with its path is suspected', () => {
  const watch = new RecordingWatch();
  watch.isPathWatched = () => false;
  const request = makeRequest();
  Object.defineProperty(request, 'body', {
    get: () => assert.unreachable('the body was read'),
  });
  const guard = new CrashGuard(watch, request);
  assert.not(guard.isContained);
  guard.note({status: 'answered', isSuccess: true}, makeServer());
  assert.equal(watch.told, []);
});

test('nothing is told of a success while nobody is suspected', () => {
  const watch = new RecordingWatch();
  watch.isWatching = false;
  assert.equal(tell({status: 'answered', isSuccess: true}, watch), []);
});

/* A contained request is tried at one server and must not go to a second one. */
test('a try is over with the first server that may have run it', () => {
  const watch = new RecordingWatch();
  Object.assign(watch, {isKnown: true, isTryDue: true});
  const guard = new CrashGuard(watch, makeRequest());
  assert.ok(guard.isContained);
  guard.claimTry();
  assert.not(guard.isContained);
  guard.note({status: 'not-run', error, reason: 'unreachable'}, makeServer());
  assert.not(guard.isContained);
  guard.note({status: 'broken', error, isCut: true}, makeServer());
  assert.ok(guard.isContained);
  guard.end();
  assert.equal(watch.told, ['asked for a try', 'cut at i-1', 'ended the try']);
});

test.run();
