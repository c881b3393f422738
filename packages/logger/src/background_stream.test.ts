import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BackgroundStream, type WriteBytes} from './background_stream.js';

const test = suite('background stream');

/** Creates a stream whose flushes and writes the test completes. */
function createStream() {
  const written: string[] = [];
  const pending: Array<() => void> = [];
  const droppedCounts: number[] = [];
  const scheduled: Array<() => void> = [];
  const writeBytes: WriteBytes = (bytes, done) =>
    pending.push(() => {
      written.push(bytes.toString());
      done(null, bytes.length);
    });
  const stream = new BackgroundStream({
    writeBytes,
    schedule: callback => scheduled.push(callback),
    onDropped: count => droppedCounts.push(count),
  });
  const runAll = (callbacks: Array<() => void>) => {
    const current = callbacks.splice(0);
    current.forEach(callback => callback());
  };
  return {
    ...{stream, written, droppedCounts},
    flush: () => runAll(scheduled),
    completeWrites: () => runAll(pending),
  };
}

test('lines buffered before a flush share one write', () => {
  const {stream, written, flush, completeWrites} = createStream();
  stream.write('a\n');
  stream.write('b\n');
  flush();
  completeWrites();
  assert.equal(written, ['a\nb\n']);
});

// Guards against unbounded memory growth while the log reader stalls.
test('lines over the buffer limit are dropped and counted', () => {
  const {stream, droppedCounts, flush, completeWrites} = createStream();
  stream.write('first\n');
  flush();
  const line = `${'x'.repeat(1_023)}\n`;
  Array.from({length: 600}, () => stream.write(line));
  assert.equal(droppedCounts, []);
  completeWrites();
  assert.equal(droppedCounts, [600 - 512]);
});

test('the rest of a short write is written next', () => {
  const written: string[] = [];
  const stream = new BackgroundStream({
    writeBytes: (bytes, done) => {
      written.push(bytes.subarray(0, 2).toString());
      done(null, 2);
    },
    schedule: callback => callback(),
    onDropped: () => undefined,
  });
  stream.write('abcd');
  assert.equal(written, ['ab', 'cd']);
});

test.run();
