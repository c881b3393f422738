/** The periods and bounds of membership, with their defaults. */

/** How often and how much members talk, and when one counts as gone. */
export interface MembershipOptions {
  /** How often one peer is probed. */
  probePeriodMs: number;
  /** How long a direct probe waits before peers are asked to probe too. */
  probeTimeoutMs: number;
  /** How long the probes through peers wait before the target is suspect. */
  indirectTimeoutMs: number;
  /** How many peers are asked to probe a target that did not answer. */
  indirectProbeCount: number;
  /** The fewest peers that one node probes in turn. */
  minProbeTargetCount: number;
  /** From suspect to gone, in probe periods, for up to 8 nodes. */
  suspicionPeriodCount: number;
  /** How much longer suspects get from a node that nobody answers. */
  isolationGraceMs: number;
  /** The most updates that ride on one probe or acknowledgement. */
  maxPiggybackCount: number;
  /** How often the whole list is compared with a random peer. */
  syncPeriodMs: number;
  /** How often one gone member is probed, to find regions again. */
  goneProbePeriodMs: number;
  /** How often one seed that is not a usable member is asked again. */
  seedPeriodMs: number;
  /** How often a node that has not joined yet tries again. */
  joinRetryMs: number;
  /** How many seeds are asked at once. */
  joinSeedCount: number;
  /** How long a gone member is remembered. */
  goneKeepMs: number;
  /** The most gone members that are remembered. */
  maxGoneCount: number;
  /** How long a `leaving` of the platform's host list holds unrepeated. */
  hintKeepMs: number;
}

/** Sized for a dead node among 8 to be found gone in under about 3 s. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  probePeriodMs: 500,
  probeTimeoutMs: 300,
  indirectTimeoutMs: 300,
  indirectProbeCount: 3,
  minProbeTargetCount: 7,
  suspicionPeriodCount: 1.6,
  isolationGraceMs: 5_000,
  maxPiggybackCount: 8,
  syncPeriodMs: 20_000,
  goneProbePeriodMs: 10_000,
  seedPeriodMs: 10_000,
  joinRetryMs: 1_000,
  joinSeedCount: 3,
  goneKeepMs: 3 * 60 * 60 * 1000,
  maxGoneCount: 1024,
  hintKeepMs: 15_000,
};

const SPREAD_FACTOR = 3;
/** The number of nodes that `suspicionPeriodCount` is meant for. */
const SUSPICION_BASE_NODE_COUNT = 8;

/**
 * From suspect to gone. It grows with the logarithm of the size, as the time
 * does in which a suspicion and its refutation spread.
 */
export function suspicionMs(
  options: MembershipOptions,
  nodeCount: number,
): number {
  const growth =
    Math.log2(Math.max(1, nodeCount)) / Math.log2(SUSPICION_BASE_NODE_COUNT);
  return (
    options.suspicionPeriodCount * options.probePeriodMs * Math.max(1, growth)
  );
}

/** How often one update is passed on, so that it reaches nearly all nodes. */
export function transmissionLimit(nodeCount: number): number {
  return Math.ceil(SPREAD_FACTOR * Math.log2(nodeCount + 1));
}
