import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {AbandonedRequests} from './index.js';

const test = suite('abandoned requests');

const GRACE_MS = 1_000;

function createFixture() {
  const clock = new ManualClock();
  const requests = new AbandonedRequests(clock, GRACE_MS);
  const cancelled: string[] = [];
  const watch = (id: string) => requests.watch(id, () => cancelled.push(id));
  return {clock, requests, cancelled, watch};
}

test('cancels a request once when no caller resumes it', () => {
  const {clock, cancelled, watch} = createFixture();
  const request = watch('q1');
  request.end(true);
  request.end(true);
  clock.advance(GRACE_MS - 1);
  assert.equal(cancelled, []);
  clock.advance(GRACE_MS);
  assert.equal(cancelled, ['q1']);
});

test('does not cancel a completed request', () => {
  const {clock, cancelled, watch} = createFixture();
  watch('q1').end(false);
  clock.advance(GRACE_MS);
  assert.equal(cancelled, []);
});

test('does not cancel a resumed request, whichever event comes first', () => {
  // Guards against cancelling a stream that was resumed at another node: the
  // notification can arrive before or after the first connection breaks.
  const {clock, requests, cancelled, watch} = createFixture();
  const late = watch('told-late');
  late.end(true);
  requests.noteResumed('told-late');
  const early = watch('told-early');
  requests.noteResumed('told-early');
  early.end(true);
  clock.advance(GRACE_MS);
  assert.equal(cancelled, []);
});

test.run();
