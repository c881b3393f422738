import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TokenBucket} from './token_bucket.js';

const test = suite('token bucket');

const LIMITS = {ratePerSecond: 100, capacity: 200};

test('gives out its level and refills at its rate', () => {
  const bucket = new TokenBucket(LIMITS, 200, 0);
  assert.is(bucket.tryTake(150, 0), null);
  assert.is(bucket.tryTake(150, 0), 1_000);
  assert.is(bucket.levelAt(500), 100);
  assert.is(bucket.levelAt(60_000), 200);
});

test('can be overdrawn and refunded', () => {
  const bucket = new TokenBucket(LIMITS, 0, 0);
  bucket.take(300, 0);
  assert.is(bucket.levelAt(1_000), -200);
  bucket.refund(300, 1_000);
  assert.is(bucket.levelAt(1_000), 100);
});

// Guards against a request above the capacity that is never served.
test('a full bucket serves an amount above its capacity', () => {
  const bucket = new TokenBucket(LIMITS, 200, 0);
  assert.is(bucket.tryTake(500, 0), null);
  assert.is(bucket.levelAt(0), -300);
});

// Guards against callers that all retry when the bucket has enough for one.
test('refused requests get successive retry times', () => {
  const bucket = new TokenBucket(LIMITS, 0, 0);
  const waits = [1, 2, 3].map(() => bucket.tryTake(50, 0));
  assert.equal(waits, [500, 1_000, 1_500]);
});

test('added capacity is filled and a smaller one limits the level', () => {
  const bucket = new TokenBucket(LIMITS, 50, 0);
  bucket.setLimits({ratePerSecond: 100, capacity: 500}, 0);
  assert.is(bucket.levelAt(0), 350);
  bucket.setLimits({ratePerSecond: 10, capacity: 20}, 0);
  assert.is(bucket.levelAt(0), 20);
});

test.run();
