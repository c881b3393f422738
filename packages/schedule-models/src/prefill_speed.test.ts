import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PrefillSpeed} from './prefill_speed.js';

const test = suite('prefill speed');

function noteMany(speed: PrefillSpeed, id: string, ttfbMs: number): void {
  Array.from({length: 60}, () => speed.record(id, 's', 1_000, ttfbMs));
}

test('estimates the speed of each engine and of the service', () => {
  const speed = new PrefillSpeed();
  noteMany(speed, 'fast', 27);
  noteMany(speed, 'slow', 207);
  assert.ok(Math.abs(speed.findMsPerToken('fast', 's') - 0.02) < 0.001);
  assert.ok(Math.abs(speed.findMsPerToken('slow', 's') - 0.2) < 0.01);
  const usual = speed.findMsPerToken('new', 's');
  assert.ok(usual > 0.02 && usual < 0.2);
  assert.ok(Math.abs(speed.findMsPerToken('new', 'other') - 1 / 29.4) < 0.001);
});

/* Guards against treating an engine as slow after a single stalled response. */
test('one late response hardly changes the estimate', () => {
  const speed = new PrefillSpeed();
  noteMany(speed, 'e1', 37);
  speed.record('e1', 's', 1_000, 9_000);
  assert.ok(speed.findMsPerToken('e1', 's') < 0.05);
});

test('short prompts and implausible times do not distort the estimate', () => {
  const speed = new PrefillSpeed();
  speed.record('e1', 's', 10, 500);
  assert.is(speed.findMsPerToken('e1', 's'), 1 / 29.4);
  noteMany(speed, 'e1', 0);
  assert.is(speed.findMsPerToken('e1', 's'), 1 / 60);
});

test.run();
