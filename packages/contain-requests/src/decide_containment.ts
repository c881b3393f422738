/** Decides which requests and prompt parts explain the crashes of servers. */
import {type Suspect, isPartSuspect} from '@mimosatack/types';
import {
  type Cut,
  type CutsByIncarnation,
  type ServerIncarnation,
  findLastCutMs,
} from './crash_evidence.js';

/**
 * Guards against containing a harmless request that ran beside a crashing one:
 * such a request is usually served before it loses three servers.
 */
export const CRASHES_TO_CONTAIN = 3;
/**
 * Servers that are lost together count as one crash of a part. Guards against blaming the
 * parts that are in use when a rack fails or a host loses its connections.
 */
const MIN_GAP_MS = 100;
/** Time for successes, and for the cuts of other parts, to arrive from all nodes. */
const SETTLE_MS = 2_000;

/**
 * After its last crash a request that was only beside parts that crash servers may run
 * again, one copy at a time.
 */
const MAX_EXPLAINED_MS = 5_000;

/** Times are on the monotonic clock. */
export interface Containment {
  suspect: Suspect;
  fromMs: number;
  untilMs: number;
}

interface PartCuts {
  part: Suspect;
  cuts: CutsByIncarnation;
  recentUses: number;
  /** The earliest place of the part in the prompts that were lost. */
  promptIndex: number;
}

/** Contains each request that lost enough servers, and the fewest parts that explain the rest. */
export function decideContainment(
  cutsBySuspect: ReadonlyMap<Suspect, CutsByIncarnation>,
): Containment[] {
  const suspects = [...cutsBySuspect].filter(
    ([, cuts]) => cuts.size >= CRASHES_TO_CONTAIN,
  );
  const parts = suspects
    .filter(([suspect]) => isPartSuspect(suspect))
    .map(([part, cuts]) => describePart(part, cuts));
  const explained = new Set<ServerIncarnation>();
  const containedParts = explainCrashes(parts, explained);
  const requests = suspects
    .filter(([suspect]) => !isPartSuspect(suspect))
    .map(([suspect, cuts]) => containRequest(suspect, cuts, explained));
  return [...requests, ...containedParts];
}

function containRequest(
  suspect: Suspect,
  cuts: CutsByIncarnation,
  explained: ReadonlySet<ServerIncarnation>,
): Containment {
  const isExplained = [...cuts.keys()].every(life => explained.has(life));
  return {
    ...{suspect, fromMs: -Infinity},
    untilMs: isExplained ? findLastCutMs(cuts) + MAX_EXPLAINED_MS : Infinity,
  };
}

/**
 * A part is contained only for crashes that no part before it explains. Parts that were
 * not served of late come first, and among equals the one that comes last in its prompts: it
 * is in the fewest requests, and a crash without it would show that it is not the cause,
 * whereas one that keeps all crashing requests from servers is never shown to be wrong.
 * Guards against containing what most prompts share, which is lost with each server, or what
 * was only beside the part that crashes servers. Adds the crashes to `explained`.
 */
function explainCrashes(
  parts: readonly PartCuts[],
  explained: Set<ServerIncarnation>,
): Containment[] {
  return [...parts].sort(compareParts).flatMap(part => {
    const fromMs = findContainedFromMs(part, explained);
    if (!Number.isFinite(fromMs)) return [];
    [...part.cuts.keys()].forEach(life => explained.add(life));
    return [{suspect: part.part, fromMs, untilMs: Infinity}];
  });
}

function compareParts(one: PartCuts, other: PartCuts): number {
  return (
    one.recentUses - other.recentUses ||
    other.cuts.size - one.cuts.size ||
    other.promptIndex - one.promptIndex ||
    (one.part < other.part ? -1 : 1)
  );
}

/** Infinity for a part that is not contained. */
function findContainedFromMs(
  {cuts, recentUses}: PartCuts,
  explained: ReadonlySet<ServerIncarnation>,
): number {
  const unexplained = [...cuts]
    .filter(([life]) => !explained.has(life))
    .map(([, cut]) => cut);
  if (unexplained.length === 0) return Infinity;
  return recentUses === 0
    ? findLastCrashMs([...cuts.values()])
    : findLastCrashMs(unexplained) + SETTLE_MS;
}

/** When a part has crashed enough servers; Infinity if it has not. */
function findLastCrashMs(cuts: readonly Cut[]): number {
  const sortedMs = cuts.map(({atMs}) => atMs).sort((a, b) => a - b);
  const crashesMs = sortedMs.reduce<number[]>(
    (crashes, atMs) =>
      atMs - (crashes.at(-1) ?? -Infinity) < MIN_GAP_MS
        ? crashes
        : [...crashes, atMs],
    [],
  );
  return crashesMs[CRASHES_TO_CONTAIN - 1] ?? Infinity;
}

function describePart(part: Suspect, cuts: CutsByIncarnation): PartCuts {
  const uses = [...cuts.values()];
  return {
    ...{part, cuts},
    recentUses: Math.max(...uses.map(({recentUses}) => recentUses)),
    promptIndex: Math.min(...uses.map(({promptIndex}) => promptIndex)),
  };
}
