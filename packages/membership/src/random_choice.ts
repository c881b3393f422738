/** Random choices of several elements. */
import {type RandomSource} from '@mimosatack/random';

/** The elements in a random order. */
export function shuffle<T>(random: RandomSource, items: readonly T[]): T[] {
  return items
    .map(item => ({item, order: random.nextFraction()}))
    .sort((first, second) => first.order - second.order)
    .map(({item}) => item);
}

/** At most `count` different elements. */
export function pickSome<T>(
  random: RandomSource,
  items: readonly T[],
  count: number,
): T[] {
  return shuffle(random, items).slice(0, count);
}
