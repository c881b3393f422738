import {ManualClock, type Timer} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BulkPace} from './bulk_pace.js';

const test = suite('pace of large responses');

const KB = 1_024;
const MB = KB * KB;
const CHUNK_BYTES = 64 * KB;
const SECOND_MS = 1_000;
const LATE_MS = 30;
const HONEST_BYTES = 3_500_000;

/** A clock whose timers fire late, as those of a busy event loop do. */
class LateClock extends ManualClock {
  constructor(private readonly latenessMs: () => number) {
    super();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    return super.setTimer(delayMs + this.latenessMs(), callback);
  }
}

/** Reads chunks for a second, each as soon as the pace allows; returns the bytes of each. */
function readForASecond(
  responseCount: number,
  clock: ManualClock,
  pace = new BulkPace(clock),
): number[] {
  const readBytes = Array.from({length: responseCount}, () => 0);
  const nextAtMs = readBytes.map(() => 0);
  for (let elapsedMs = 0; elapsedMs < SECOND_MS; elapsedMs += 1) {
    readBytes.forEach((bytes, at) => {
      if ((nextAtMs[at] ?? 0) > elapsedMs) return;
      readBytes[at] = bytes + CHUNK_BYTES;
      nextAtMs[at] = elapsedMs + pace.count(CHUNK_BYTES, bytes + CHUNK_BYTES);
    });
    clock.advance(1);
  }
  return readBytes;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

// Guards against many responses without end that together take the whole processor.
test('many large responses share a rate while the event loop is late', () => {
  const readBytes = readForASecond(50, new LateClock(() => LATE_MS));
  const total = sum(readBytes);
  assert.ok(total <= 8 * MB + 50 * (256 * KB + CHUNK_BYTES), `${total}`);
  assert.ok(Math.min(...readBytes) >= Math.max(...readBytes) / 2);
});

// Guards against responses that miss their time limit although the processor is idle.
test('large responses are read at full speed while the event loop is on time', () => {
  const readBytes = readForASecond(24, new ManualClock());
  assert.ok(sum(readBytes) >= 24 * HONEST_BYTES, `${sum(readBytes)}`);
  assert.ok(Math.min(...readBytes) >= HONEST_BYTES);
});

// Guards against a rate that stays high after the processor has become busy.
test('the rate falls as soon as the event loop is late', () => {
  let latenessMs = 0;
  const clock = new LateClock(() => latenessMs);
  const pace = new BulkPace(clock);
  readForASecond(50, clock, pace);
  latenessMs = LATE_MS;
  readForASecond(50, clock, pace);
  const readBytes = readForASecond(50, clock, pace);
  const total = sum(readBytes);
  assert.ok(total <= 8 * MB + 50 * (256 * KB + CHUNK_BYTES), `${total}`);
});

test('a small response is not paced beside large ones', () => {
  const pace = new BulkPace(new ManualClock());
  for (let read = 0; read < 100; read += 1) pace.count(CHUNK_BYTES, MB);
  assert.is(pace.count(CHUNK_BYTES, CHUNK_BYTES), 0);
  assert.ok(pace.count(CHUNK_BYTES, MB) > 0);
});

test.run();
