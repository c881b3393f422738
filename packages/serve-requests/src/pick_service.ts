import {type RandomSource} from '@mimosatack/random';
import {type TrafficShare} from '@mimosatack/types';

/** Picks a random service by weight; null if no weight is positive. */
export function pickService(
  traffic: readonly TrafficShare[],
  random: RandomSource,
): string | null {
  const total = traffic.reduce((sum, {weight}) => sum + weight, 0);
  if (total <= 0) return null;
  let rest = random.nextFraction() * total;
  const drawn = traffic.find(({weight}) => {
    rest -= weight;
    return rest < 0;
  });
  return (drawn ?? traffic[traffic.length - 1])?.service ?? null;
}
