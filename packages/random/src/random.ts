/** Injectable random number generators, so that runs can be reproduced. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export interface RandomSource {
  /** Returns an integer in `[min, max]`, both inclusive. */
  nextInt(min: number, max: number): number;
  /** Returns a number in `[0, 1)`. */
  nextFraction(): number;
}

const FRACTION_STEPS = 2 ** 31;

/** A deterministic generator: the same seed yields the same sequence. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  nextInt(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  nextFraction(): number {
    return this.nextInt(0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  }
}

/** Returns a random element, or undefined for an empty list. */
export function pickOne<T>(
  random: RandomSource,
  items: readonly T[],
): T | undefined {
  return items.length === 0
    ? undefined
    : items[random.nextInt(0, items.length - 1)];
}

/** Returns a uniformly random delay in `[baseMs, baseMs * (1 + spread))`. */
export function addJitter(
  random: RandomSource,
  baseMs: number,
  spread: number,
): number {
  return baseMs * (1 + spread * random.nextFraction());
}
