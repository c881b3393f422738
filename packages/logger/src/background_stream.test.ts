import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BackgroundStream, type WriteBytes} from './background_stream.js';

const test = suite('log lines in the background');

/** A stream whose writes end when the test says so. */
function makeStream() {
  const written: string[] = [];
  const pending: Array<() => void> = [];
  const drops: number[] = [];
  const due: Array<() => void> = [];
  const writeBytes: WriteBytes = (bytes, done) =>
    pending.push(() => {
      written.push(bytes.toString());
      done(null, bytes.length);
    });
  const stream = new BackgroundStream({
    writeBytes,
    schedule: callback => due.push(callback),
    onDropped: count => drops.push(count),
  });
  const runAll = (list: Array<() => void>) => {
    const now = list.splice(0);
    now.forEach(step => step());
  };
  return {
    ...{stream, written, drops},
    gather: () => runAll(due),
    finish: () => runAll(pending),
  };
}

test('lines that come together are written together', () => {
  const {stream, written, gather, finish} = makeStream();
  stream.write('a\n');
  stream.write('b\n');
  gather();
  finish();
  assert.equal(written, ['a\nb\n']);
});

/*
 * Whoever reads the log stalls. The process goes on serving: lines wait up to
 * a bound, then they are left out, and their number is told afterwards.
 */
test('a stalled reader costs lines, not memory, and is told', () => {
  const {stream, drops, gather, finish} = makeStream();
  stream.write('first\n');
  gather();
  const line = `${'x'.repeat(1_023)}\n`;
  Array.from({length: 600}, () => stream.write(line));
  assert.equal(drops, []);
  finish();
  assert.equal(drops, [600 - 512]);
});

test('what a write left over is written next', () => {
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
