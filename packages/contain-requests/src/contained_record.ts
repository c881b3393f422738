/** Encodes and decodes the stored record of contained requests. */
import {type RequestFingerprint} from '@mimosatack/types';
import * as z from 'zod';
import {type CrashFact, type CutsByIncarnation} from './crash_evidence.js';

/** Limited by the record size; requests with the latest cuts are kept. */
const MAX_RECORDED_REQUESTS = 500;

const recordSchema = z.array(
  z.object({
    fingerprint: z.string(),
    cuts: z.array(z.object({serverLife: z.string(), isTry: z.boolean()})),
  }),
);

/** Null if no request is contained. */
export function encodeContained(
  contained: readonly RequestFingerprint[],
  cuts: ReadonlyMap<RequestFingerprint, CutsByIncarnation>,
): Uint8Array | null {
  if (contained.length === 0) return null;
  const entries = contained.slice(-MAX_RECORDED_REQUESTS).map(fingerprint => ({
    fingerprint,
    cuts: [...(cuts.get(fingerprint) ?? [])]
      .map(([serverLife, {isTry}]) => ({serverLife, isTry}))
      .sort((a, b) => (a.serverLife < b.serverLife ? -1 : 1)),
  }));
  return Buffer.from(JSON.stringify(entries));
}

/**
 * Dates the recorded facts to now, since a wall clock that could date them may
 * jump. Null for a record with an invalid format.
 */
export function decodeContained(
  value: Uint8Array,
  nowMs: number,
): CrashFact[] | null {
  try {
    const text = Buffer.from(value).toString('utf8');
    return recordSchema.parse(JSON.parse(text)).flatMap(({fingerprint, cuts}) =>
      cuts.map(cut => ({
        ...{kind: 'cut' as const, fingerprint, ...cut, atMs: nowMs},
      })),
    );
  } catch {
    return null;
  }
}
