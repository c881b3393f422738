/** Configuration of membership and its defaults. */

export interface MembershipOptions {
  /** Interval between probes; each probes one peer. */
  probePeriodMs: number;
  /** Time before an unanswered direct probe is retried through peers. */
  probeTimeoutMs: number;
  /** Time before an unanswered indirect probe makes the target suspect. */
  indirectTimeoutMs: number;
  /** Number of peers asked to probe an unresponsive target. */
  indirectProbeCount: number;
  /** Minimum number of peers that a node probes in rotation. */
  minProbeTargetCount: number;
  /** Suspicion timeout in probe periods, for up to 8 nodes. */
  suspicionPeriodCount: number;
  /** Extra suspicion timeout while this node receives no acknowledgements. */
  isolationGraceMs: number;
  /** Maximum number of updates piggybacked on one message. */
  maxPiggybackCount: number;
  /** Interval of the full list comparison with a random peer. */
  syncPeriodMs: number;
  /** Interval of probes to gone members, to reconnect after a partition. */
  goneProbePeriodMs: number;
  /** Interval of syncs with a seed whose address no present member has. */
  seedPeriodMs: number;
  /** Interval between attempts to join. */
  joinRetryMs: number;
  /** Number of seeds contacted per attempt to join. */
  joinSeedCount: number;
  /** Retention time of gone members. */
  goneRetentionMs: number;
  /** Maximum number of retained gone members. */
  maxGoneCount: number;
  /** Lifetime of a `leaving` hint from the platform's host list. */
  hintTtlMs: number;
}

/** With 8 nodes, a crashed node is declared gone within about 3 s. */
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
  goneRetentionMs: 3 * 60 * 60 * 1000,
  maxGoneCount: 1024,
  hintTtlMs: 15_000,
};

const RETRANSMIT_FACTOR = 3;
/** Cluster size up to which `suspicionPeriodCount` applies unscaled. */
const SUSPICION_BASE_NODE_COUNT = 8;

/** Scales with log(nodeCount), as the dissemination time of updates does. */
export function suspicionTimeoutMs(
  options: MembershipOptions,
  nodeCount: number,
): number {
  const sizeFactor =
    Math.log2(Math.max(1, nodeCount)) / Math.log2(SUSPICION_BASE_NODE_COUNT);
  return (
    options.suspicionPeriodCount *
    options.probePeriodMs *
    Math.max(1, sizeFactor)
  );
}

/** How many times a node sends an update, so that it reaches most nodes. */
export function transmissionLimit(nodeCount: number): number {
  return Math.ceil(RETRANSMIT_FACTOR * Math.log2(nodeCount + 1));
}
