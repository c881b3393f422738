import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BulkPace} from './bulk_pace.js';

const test = suite('pace of large responses');

const KB = 1_024;
const MB = KB * KB;
const CHUNK_BYTES = 64 * KB;
const SECOND_MS = 1_000;

/** Reads chunks for a second, each as soon as the pace allows; returns the bytes of each. */
function readForASecond(responseCount: number): number[] {
  const clock = new ManualClock();
  const pace = new BulkPace(clock);
  const readBytes = Array.from({length: responseCount}, () => 0);
  const nextAtMs = readBytes.map(() => 0);
  for (let nowMs = 0; nowMs < SECOND_MS; nowMs += 1) {
    readBytes.forEach((bytes, at) => {
      if ((nextAtMs[at] ?? 0) > nowMs) return;
      readBytes[at] = bytes + CHUNK_BYTES;
      nextAtMs[at] = nowMs + pace.count(CHUNK_BYTES, bytes + CHUNK_BYTES);
    });
    clock.advance(1);
  }
  return readBytes;
}

// Guards against many responses without end that together take the whole processor.
test('many large responses share a rate', () => {
  const readBytes = readForASecond(50);
  const total = readBytes.reduce((sum, bytes) => sum + bytes, 0);
  assert.ok(total <= 8 * MB + 50 * (256 * KB + CHUNK_BYTES), `${total}`);
  assert.ok(Math.min(...readBytes) >= Math.max(...readBytes) / 2);
});

test('a small response is not paced beside large ones', () => {
  const pace = new BulkPace(new ManualClock());
  for (let read = 0; read < 100; read += 1) pace.count(CHUNK_BYTES, MB);
  assert.is(pace.count(CHUNK_BYTES, CHUNK_BYTES), 0);
  assert.ok(pace.count(CHUNK_BYTES, MB) > 0);
});

test.run();
