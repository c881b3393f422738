/** Encodes and decodes the stored record of contained requests and prompt parts. */
import {
  type Suspect,
  amountSchema,
  parseJsonRecord,
  textSchema,
} from '@mimosatack/types';
import * as z from 'zod';
import {
  type CrashFact,
  type CutsByIncarnation,
  findLastCutMs,
} from './crash_evidence.js';

/** Limited by the record size; suspects with the latest cuts are kept. */
const MAX_RECORDED_SUSPECTS = 500;
/** Holds the cuts of all suspects. */
const BOUNDS = {maxItems: 500_000};
/** Keeps the record within 256 KiB; 500 suspects with the three cuts that contain them fit. */
const MAX_RECORDED_CUTS = 1_500;

const recordSchema = z.array(
  z.object({
    fingerprint: textSchema,
    cuts: z.array(
      z.object({
        serverLife: textSchema,
        isTry: z.boolean(),
        /** Time from this cut to the last one; the previous release writes none. */
        beforeLastMs: amountSchema.default(0),
        recentUses: amountSchema.default(0),
        promptIndex: amountSchema.default(0),
      }),
    ),
  }),
);

/** Null if nothing is contained. */
export function encodeContained(
  contained: readonly Suspect[],
  cuts: ReadonlyMap<Suspect, CutsByIncarnation>,
): Uint8Array | null {
  if (contained.length === 0) return null;
  const entries = selectRecorded(contained, cuts).map(fingerprint => ({
    fingerprint,
    cuts: listCuts(cuts.get(fingerprint) ?? new Map()),
  }));
  return Buffer.from(JSON.stringify(entries));
}

function selectRecorded(
  contained: readonly Suspect[],
  cuts: ReadonlyMap<Suspect, CutsByIncarnation>,
): Suspect[] {
  let cutCount = 0;
  return contained
    .slice(-MAX_RECORDED_SUSPECTS)
    .reverse()
    .filter(suspect => {
      cutCount += cuts.get(suspect)?.size ?? 0;
      return cutCount <= MAX_RECORDED_CUTS;
    })
    .reverse();
}

function listCuts(cuts: CutsByIncarnation) {
  const lastMs = findLastCutMs(cuts);
  return [...cuts]
    .map(([serverLife, {atMs, ...cut}]) => ({
      ...{serverLife, ...cut},
      beforeLastMs: Math.round(lastMs - atMs),
    }))
    .sort((a, b) => (a.serverLife < b.serverLife ? -1 : 1));
}

/**
 * Dates the last recorded cut to now, since a wall clock that could date it may
 * jump. Null for a record with an invalid format.
 */
export function decodeContained(
  value: Uint8Array,
  nowMs: number,
): CrashFact[] | null {
  try {
    const suspects = parseJsonRecord(value, recordSchema, BOUNDS);
    return suspects.flatMap(({fingerprint, cuts}) =>
      cuts.map(({beforeLastMs, ...cut}) => ({
        ...{kind: 'cut' as const, fingerprint, ...cut},
        atMs: nowMs - beforeLastMs,
      })),
    );
  } catch {
    return null;
  }
}
