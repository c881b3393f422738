import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SeededRandom, addJitter, pickOne} from './index.js';

function take<T>(count: number, draw: () => T): T[] {
  return Array.from({length: count}, draw);
}

const random = suite('random');

random(
  'the same seed yields the same numbers, another seed different ones',
  () => {
    const draw = (seed: number) => {
      const source = new SeededRandom(seed);
      return take(20, () => source.nextInt(0, 1_000_000));
    };
    assert.equal(draw(7), draw(7));
    assert.not.equal(draw(7), draw(8));
  },
);

random('integers include both bounds', () => {
  const source = new SeededRandom(1);
  const drawn = new Set(take(200, () => source.nextInt(3, 5)));
  assert.equal([...drawn].sort(), [3, 4, 5]);
});

random('fractions are in [0, 1)', () => {
  const source = new SeededRandom(1);
  const drawn = take(1_000, () => source.nextFraction());
  assert.ok(drawn.every(fraction => fraction >= 0 && fraction < 1));
});

random('pickOne returns every element, and undefined for an empty list', () => {
  const source = new SeededRandom(1);
  const picked = new Set(take(200, () => pickOne(source, ['a', 'b', 'c'])));
  assert.equal([...picked].sort(), ['a', 'b', 'c']);
  assert.is(pickOne(source, []), undefined);
});

random('jitter lengthens the delay by at most the spread', () => {
  const source = new SeededRandom(1);
  const drawn = take(1_000, () => addJitter(source, 100, 0.5));
  assert.ok(drawn.every(delayMs => delayMs >= 100 && delayMs <= 150));
  assert.ok(Math.max(...drawn) > 125 && Math.min(...drawn) < 125);
});

random.run();
