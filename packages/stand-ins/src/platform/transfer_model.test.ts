import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TransferModel} from './transfer_model.js';

const test = suite('transfer model');

/** A store in which one transfer of size 1 takes 500 ms at full speed. */
function setUp() {
  const clock = new ManualClock();
  const limits = {loadsPerSecond: 8, fullSpeedLoads: 4};
  const model = new TransferModel(clock, limits);
  const doneMs: number[] = [];
  const start = (sizeFactor = 1) =>
    model.start(sizeFactor, () => doneMs.push(Math.round(clock.monotonicMs())));
  return {clock, model, doneMs, start};
}

test('runs up to fullSpeedLoads transfers at full speed', () => {
  const {clock, doneMs, start} = setUp();
  [1, 1, 1, 2].forEach(start);
  clock.advance(2_000);
  assert.equal(doneMs, [500, 500, 500, 1_000]);
});

test('shares the bandwidth evenly among more transfers', () => {
  const {clock, doneMs, start} = setUp();
  Array.from({length: 16}).forEach(() => start());
  clock.advance(1_999);
  assert.equal(doneMs, []);
  clock.advance(2);
  assert.equal(doneMs.length, 16);
});

test('gives the share of a cancelled transfer to the others', () => {
  const {clock, doneMs, start} = setUp();
  const transfers = Array.from({length: 8}, () => start());
  clock.advance(500);
  transfers.slice(4).forEach(transfer => transfer.cancel());
  clock.advance(1_000);
  assert.equal(doneMs, [750, 750, 750, 750]);
});

test('slows down transfers that are under way', () => {
  const {clock, model, doneMs, start} = setUp();
  start();
  clock.advance(250);
  model.setSlowdown(10);
  clock.advance(1_000);
  model.setSlowdown(1);
  clock.advance(1_000);
  assert.equal(doneMs, [250 + 1_000 + 150]);
});

test.run();
