/** Encodes loads as small integers, which take one byte each in msgpack. */
import {type LoadSample} from '@mimosatack/engine-board';
import {type BackendServerTable} from './backend_server_table.js';
import {
  LOAD_KINDS,
  LOAD_KIND_WIDTHS,
  type LoadGroup,
  type LoadKind,
} from './messages.js';

/** The resolution of stamps in messages. */
export const STAMP_UNIT_MS = 100;
/** Levels up to this one equal the request count. */
const EXACT_LEVELS = 64;
const MAX_LEVEL = 127;
/** The ratio of consecutive levels above `EXACT_LEVELS`. */
const LEVEL_GROWTH = 1.06;

/** The part of a `loads` message that holds the loads. */
export interface EncodedLoads {
  stampUnits: number;
  groups: LoadGroup[];
}

/** Quantizes a request count to 7 bits: exact up to 64, then within 3 %. */
export function toLevel(requestCount: number): number {
  if (requestCount <= EXACT_LEVELS) return Math.round(requestCount);
  const steps = Math.log(requestCount / EXACT_LEVELS) / Math.log(LEVEL_GROWTH);
  return Math.min(MAX_LEVEL, EXACT_LEVELS + Math.round(steps));
}

/** The request count that a level represents. */
export function fromLevel(level: number): number {
  return level <= EXACT_LEVELS
    ? level
    : Math.round(EXACT_LEVELS * LEVEL_GROWTH ** (level - EXACT_LEVELS));
}

/** Omits samples whose backend server and epoch are not in the table. */
export function encodeLoads(
  samples: readonly LoadSample[],
  table: BackendServerTable,
): EncodedLoads {
  const known = samples.filter(
    sample => table.find(sample.backendServerId)?.epoch === sample.epoch,
  );
  const stampUnits = Math.max(0, ...known.map(toStampUnits));
  const groups = new Map<string, LoadSample[]>();
  known.forEach(sample => {
    const key = `${classifyLoad(sample)} ${stampUnits - toStampUnits(sample)}`;
    groups.set(key, [...(groups.get(key) ?? []), sample]);
  });
  return {
    stampUnits,
    groups: [...groups.values()].map(group =>
      encodeGroup(group, stampUnits, table),
    ),
  };
}

/** Omits indexes that are not in the table. */
export function decodeLoads(
  {stampUnits, groups}: EncodedLoads,
  table: BackendServerTable,
): LoadSample[] {
  return groups.flatMap(group => decodeGroup(group, stampUnits, table));
}

function encodeGroup(
  group: readonly LoadSample[],
  stampUnits: number,
  table: BackendServerTable,
): LoadGroup {
  const first = group[0]!;
  const indexed = group
    .map(sample => ({
      sample,
      index: table.findIndex(sample.backendServerId)!,
    }))
    .sort((a, b) => a.index - b.index);
  return [
    LOAD_KINDS.indexOf(classifyLoad(first)),
    stampUnits - toStampUnits(first),
    ...indexed.flatMap(({sample, index}, position) => [
      index - (indexed[position - 1]?.index ?? 0),
      ...listLevels(sample),
    ]),
  ];
}

function decodeGroup(
  [kindIndex = 0, ageUnits = 0, ...values]: LoadGroup,
  stampUnits: number,
  table: BackendServerTable,
): LoadSample[] {
  const kind = LOAD_KINDS[kindIndex] ?? 'idle';
  const stampMs = (stampUnits - ageUnits) * STAMP_UNIT_MS;
  const width = 1 + LOAD_KIND_WIDTHS[kind];
  let index = 0;
  return Array.from({length: values.length / width}, (_, position) => {
    const [indexDelta = 0, running = 0, queued = 0] = values.slice(
      position * width,
      (position + 1) * width,
    );
    index += indexDelta;
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

function classifyLoad({load}: LoadSample): LoadKind {
  if (load === null) return LOAD_KINDS[3];
  if (load.queuedRequests > 0) return LOAD_KINDS[2];
  return load.runningRequests > 0 ? LOAD_KINDS[1] : LOAD_KINDS[0];
}

function listLevels(sample: LoadSample): number[] {
  const {runningRequests = 0, queuedRequests = 0} = sample.load ?? {};
  return [runningRequests, queuedRequests]
    .map(toLevel)
    .slice(0, LOAD_KIND_WIDTHS[classifyLoad(sample)]);
}

function toStampUnits({stampMs}: LoadSample): number {
  return Math.floor(stampMs / STAMP_UNIT_MS);
}
