/** Tells the requests that crash servers from those that stood beside them. */
import {type RequestFingerprint} from '@mimosatack/types';
import {type CutsByLife, type ServerLife} from './crash_evidence.js';

/** Servers that may end under a request before it is contained. */
export const CRASHES_TO_CONTAIN = 3;

/**
 * Requests under which three servers or more have ended, without those whose
 * ends all are explained by requests under which more have ended.
 *
 * Guards against the refusal of innocents: an engine that ends cuts all that it
 * runs, and what is sent again may stand beside the same bad request once more.
 * That one was at each of these ends and at others too.
 */
export function findContained(
  cuts: ReadonlyMap<RequestFingerprint, CutsByLife>,
): Set<RequestFingerprint> {
  const suspects = [...cuts]
    .filter(([, lives]) => lives.size >= CRASHES_TO_CONTAIN)
    .map(([fingerprint, lives]) => ({fingerprint, lives: [...lives.keys()]}));
  const counts = [...new Set(suspects.map(({lives}) => lives.length))];
  const explained = new Set<ServerLife>();
  const contained = counts
    .sort((a, b) => b - a)
    .flatMap(count => {
      const guilty = suspects
        .filter(({lives}) => lives.length === count)
        .filter(({lives}) => lives.some(life => !explained.has(life)));
      guilty.flatMap(({lives}) => lives).forEach(life => explained.add(life));
      return guilty.map(({fingerprint}) => fingerprint);
    });
  return new Set(contained);
}
