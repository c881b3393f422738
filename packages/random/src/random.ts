/** Random numbers that are passed in, so that a seed fixes every choice. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface RandomSource {
  /** An integer in `[min, max]`, both included. */
  nextInt(min: number, max: number): number;
  /** A number in `[0, 1)`. */
  nextFraction(): number;
}

const FRACTION_STEPS = 2 ** 31;

/** A source whose whole sequence follows from its seed. */
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

/** Picks one element, or undefined from an empty list. */
export function pickOne<T>(
  random: RandomSource,
  items: readonly T[],
): T | undefined {
  return items.length === 0
    ? undefined
    : items[random.nextInt(0, items.length - 1)];
}

/** Spreads `baseMs` evenly over `[base, base * (1 + spread)]`. */
export function addJitter(
  random: RandomSource,
  baseMs: number,
  spread: number,
): number {
  return baseMs * (1 + spread * random.nextFraction());
}
