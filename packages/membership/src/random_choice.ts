/** Random shuffling and sampling. */
import {type RandomSource} from '@mimosatack/random';

export function shuffle<T>(random: RandomSource, items: readonly T[]): T[] {
  return items
    .map(item => ({item, order: random.nextFraction()}))
    .sort((first, second) => first.order - second.order)
    .map(({item}) => item);
}

/** Picks up to `count` distinct elements. */
export function pickSample<T>(
  random: RandomSource,
  items: readonly T[],
  count: number,
): T[] {
  return shuffle(random, items).slice(0, count);
}
