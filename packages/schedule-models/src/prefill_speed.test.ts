import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ReadingSpeed} from './prefill_speed.js';

const test = suite('how fast engines read');

function noteMany(speed: ReadingSpeed, id: string, headMs: number): void {
  Array.from({length: 60}, () => speed.note(id, 's', 1_000, headMs));
}

test('the speed of each engine is learnt, and that of all together', () => {
  const speed = new ReadingSpeed();
  noteMany(speed, 'fast', 27);
  noteMany(speed, 'slow', 207);
  assert.ok(Math.abs(speed.findMsPerToken('fast', 's') - 0.02) < 0.001);
  assert.ok(Math.abs(speed.findMsPerToken('slow', 's') - 0.2) < 0.01);
  const usual = speed.findMsPerToken('new', 's');
  assert.ok(usual > 0.02 && usual < 0.2);
  assert.ok(Math.abs(speed.findMsPerToken('new', 'other') - 1 / 29.4) < 0.001);
});

/*
 * One answer comes after seconds, since the engine had stalled. The engine must
 * not be taken for a slow one for that.
 */
test('one late answer hardly counts', () => {
  const speed = new ReadingSpeed();
  noteMany(speed, 'e1', 37);
  speed.note('e1', 's', 1_000, 9_000);
  assert.ok(speed.findMsPerToken('e1', 's') < 0.05);
});

test('short prompts and impossible times teach nothing wrong', () => {
  const speed = new ReadingSpeed();
  speed.note('e1', 's', 10, 500);
  assert.is(speed.findMsPerToken('e1', 's'), 1 / 29.4);
  noteMany(speed, 'e1', 0);
  assert.is(speed.findMsPerToken('e1', 's'), 1 / 60);
});

test.run();
