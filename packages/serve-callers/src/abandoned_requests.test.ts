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

test('a request that nobody comes back for is cancelled once', () => {
  const {clock, cancelled, watch} = createFixture();
  const request = watch('q1');
  request.end(true);
  request.end(true);
  clock.advance(GRACE_MS - 1);
  assert.equal(cancelled, []);
  clock.advance(GRACE_MS);
  assert.equal(cancelled, ['q1']);
});

test('one that is whole is not cancelled', () => {
  const {clock, cancelled, watch} = createFixture();
  watch('q1').end(false);
  clock.advance(GRACE_MS);
  assert.equal(cancelled, []);
});

test('one that was resumed is not cancelled, in whatever order it is told', () => {
  // A caller's resumed stream would end in an error: its first connection
  // broke, it went on at another node, and the first node cancels at the end
  // of the grace. The first node may hear of the resume before the break.
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
