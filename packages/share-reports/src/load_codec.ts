/** Loads in few bytes: small numbers only, of which msgpack needs one byte. */
import {type LoadSample} from '@mimosatack/engine-board';
import {
  LOAD_KINDS,
  LOAD_KIND_WIDTHS,
  type LoadGroup,
  type LoadKind,
} from './messages.js';
import {type RunnerTable} from './runner_table.js';

/** Stamps are told in units of this length. */
export const STAMP_UNIT_MS = 100;
/** Levels up to here are the number itself. */
const EXACT_LEVELS = 64;
const MAX_LEVEL = 127;
/** By how much each further level is above the one before. */
const LEVEL_GROWTH = 1.06;

/** Loads as they stand in a message. */
export interface EncodedLoads {
  stampUnits: number;
  groups: LoadGroup[];
}

/** A count of requests in 7 bits: exact up to 64, then within 3 %. */
export function toLevel(requestCount: number): number {
  if (requestCount <= EXACT_LEVELS) return Math.round(requestCount);
  const steps = Math.log(requestCount / EXACT_LEVELS) / Math.log(LEVEL_GROWTH);
  return Math.min(MAX_LEVEL, EXACT_LEVELS + Math.round(steps));
}

/** The count of requests that a level stands for. */
export function fromLevel(level: number): number {
  return level <= EXACT_LEVELS
    ? level
    : Math.round(EXACT_LEVELS * LEVEL_GROWTH ** (level - EXACT_LEVELS));
}

/** Leaves out what the table does not know under the same claim. */
export function encodeLoads(
  samples: readonly LoadSample[],
  table: RunnerTable,
): EncodedLoads {
  const known = samples.filter(
    sample => table.find(sample.backendServerId)?.epoch === sample.epoch,
  );
  const stampUnits = Math.max(0, ...known.map(toStampUnits));
  const groups = new Map<string, LoadSample[]>();
  known.forEach(sample => {
    const key = `${kindOf(sample)} ${stampUnits - toStampUnits(sample)}`;
    groups.set(key, [...(groups.get(key) ?? []), sample]);
  });
  return {
    stampUnits,
    groups: [...groups.values()].map(group =>
      encodeGroup(group, stampUnits, table),
    ),
  };
}

/** Leaves out indexes that the table does not have. */
export function decodeLoads(
  {stampUnits, groups}: EncodedLoads,
  table: RunnerTable,
): LoadSample[] {
  return groups.flatMap(group => decodeGroup(group, stampUnits, table));
}

function encodeGroup(
  group: readonly LoadSample[],
  stampUnits: number,
  table: RunnerTable,
): LoadGroup {
  const first = group[0]!;
  const indexed = group
    .map(sample => ({
      sample,
      index: table.findIndex(sample.backendServerId)!,
    }))
    .sort((a, b) => a.index - b.index);
  return [
    LOAD_KINDS.indexOf(kindOf(first)),
    stampUnits - toStampUnits(first),
    ...indexed.flatMap(({sample, index}, place) => [
      index - (indexed[place - 1]?.index ?? 0),
      ...listLevels(sample),
    ]),
  ];
}

function decodeGroup(
  [kindPlace = 0, ageUnits = 0, ...values]: LoadGroup,
  stampUnits: number,
  table: RunnerTable,
): LoadSample[] {
  const kind = LOAD_KINDS[kindPlace] ?? 'idle';
  const stampMs = (stampUnits - ageUnits) * STAMP_UNIT_MS;
  const width = 1 + LOAD_KIND_WIDTHS[kind];
  let index = 0;
  return Array.from({length: values.length / width}, (_, place) => {
    const [step = 0, running = 0, queued = 0] = values.slice(
      place * width,
      (place + 1) * width,
    );
    index += step;
    return {row: table.rows[index], running, queued};
  }).flatMap(({row, running, queued}) =>
    row
      ? [
          {
            backendServerId: row.backendServerId,
            epoch: row.epoch,
            stampMs,
            load:
              kind === 'silent'
                ? null
                : {
                    runningRequests: fromLevel(running),
                    queuedRequests: fromLevel(queued),
                  },
          },
        ]
      : [],
  );
}

function kindOf({load}: LoadSample): LoadKind {
  if (load === null) return LOAD_KINDS[3];
  if (load.queuedRequests > 0) return LOAD_KINDS[2];
  return load.runningRequests > 0 ? LOAD_KINDS[1] : LOAD_KINDS[0];
}

function listLevels(sample: LoadSample): number[] {
  const {runningRequests = 0, queuedRequests = 0} = sample.load ?? {};
  return [runningRequests, queuedRequests]
    .map(toLevel)
    .slice(0, LOAD_KIND_WIDTHS[kindOf(sample)]);
}

function toStampUnits({stampMs}: LoadSample): number {
  return Math.floor(stampMs / STAMP_UNIT_MS);
}
