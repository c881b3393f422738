/** The record in the store of which requests are contained. */
import {type RequestFingerprint} from '@mimosatack/types';
import * as z from 'zod';
import {type CrashFact, type CutsByLife} from './crash_evidence.js';

/** More would not fit one record; those that were cut most lately are kept. */
const MAX_RECORDED = 500;

const recordSchema = z.array(
  z.object({
    fingerprint: z.string(),
    cuts: z.array(z.object({serverLife: z.string(), isTry: z.boolean()})),
  }),
);

/** The form of the record; null for a record that is not needed. */
export function encodeContained(
  contained: readonly RequestFingerprint[],
  cuts: ReadonlyMap<RequestFingerprint, CutsByLife>,
): Uint8Array | null {
  if (contained.length === 0) return null;
  const entries = contained.slice(-MAX_RECORDED).map(fingerprint => ({
    fingerprint,
    cuts: [...(cuts.get(fingerprint) ?? [])]
      .map(([serverLife, {isTry}]) => ({serverLife, isTry}))
      .sort((a, b) => (a.serverLife < b.serverLife ? -1 : 1)),
  }));
  return Buffer.from(JSON.stringify(entries));
}

/**
 * The facts in a record, as if they had been seen just now: a clock that lasts
 * from one process to the next can jump. Null for a record of another form.
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
