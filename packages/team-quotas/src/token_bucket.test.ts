import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TokenBucket} from './token_bucket.js';

const test = suite('a token bucket');

const TERMS = {ratePerSecond: 100, capacity: 200};

test('gives what it holds and fills up at its rate', () => {
  const bucket = new TokenBucket(TERMS, 200, 0);
  assert.is(bucket.tryTake(150, 0), null);
  assert.is(bucket.tryTake(150, 0), 1_000);
  assert.is(bucket.levelAt(500), 100);
  assert.is(bucket.levelAt(60_000), 200);
});

test('is overdrawn by what must be taken, and takes back', () => {
  const bucket = new TokenBucket(TERMS, 0, 0);
  bucket.take(300, 0);
  assert.is(bucket.levelAt(1_000), -200);
  bucket.giveBack(300, 1_000);
  assert.is(bucket.levelAt(1_000), 100);
});

// Guards against a request that is larger than the bucket and never served.
test('a full bucket gives more than it holds', () => {
  const bucket = new TokenBucket(TERMS, 200, 0);
  assert.is(bucket.tryTake(500, 0), null);
  assert.is(bucket.levelAt(0), -300);
});

// Guards against callers that all come back at a moment with room for one.
test('each refused request is told to come back after those before it', () => {
  const bucket = new TokenBucket(TERMS, 0, 0);
  const waits = [1, 2, 3].map(() => bucket.tryTake(50, 0));
  assert.equal(waits, [500, 1_000, 1_500]);
});

test('a larger bucket is filled up, a smaller one is cut', () => {
  const bucket = new TokenBucket(TERMS, 50, 0);
  bucket.retune({ratePerSecond: 100, capacity: 500}, 0);
  assert.is(bucket.levelAt(0), 350);
  bucket.retune({ratePerSecond: 10, capacity: 20}, 0);
  assert.is(bucket.levelAt(0), 20);
});

test.run();
