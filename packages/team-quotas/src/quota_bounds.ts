/** How far all nodes together may exceed a quota, and how that is divided. */
import {type TeamQuota} from '@mimosatack/types';
import {type BucketLimits} from '@mimosatack/share-limits';

/** The limit on what is served in any time window. */
export interface QuotaBounds {
  windowMs: number;
  /** What may be served beyond the quota, as a fraction of the quota. */
  overage: number;
  /** What may be served in addition, in the unit of the quota. */
  slack: number;
}

const MS_PER_SECOND = 1_000;
/**
 * Fraction of the tolerance that is added to the bucket, so that no request
 * within the quota is refused because of the order in which reports arrive.
 */
const BUCKET_FRACTION = 0.25;
/** Fraction of the tolerance that nodes may spend before they report it. */
const UNSETTLED_FRACTION = 0.35;
/**
 * Fraction of the tolerance that a team has at a new process. It bounds what is
 * served in excess after a restart of all nodes, which loses the levels.
 */
const INITIAL_FRACTION = 0.3;

/** Amount that may be served in one window beyond the quota. */
export function findTolerance(
  {ratePerSecond, burst}: TeamQuota,
  {windowMs, overage, slack}: QuotaBounds,
): number {
  const quota = (ratePerSecond * windowMs) / MS_PER_SECOND + burst;
  return quota * overage + slack;
}

export function findBucketLimits(
  quota: TeamQuota,
  bounds: QuotaBounds,
): BucketLimits {
  const extraCapacity = BUCKET_FRACTION * findTolerance(quota, bounds);
  const {ratePerSecond, burst} = quota;
  return {ratePerSecond, capacity: burst + extraCapacity};
}

/** A team's level at a process that has not got a reply of the holder yet. */
export function findInitialLevel(
  quota: TeamQuota,
  bounds: QuotaBounds,
): number {
  return INITIAL_FRACTION * findTolerance(quota, bounds);
}

/** Amount that a node with a share of `share` may spend before it is reported. */
export function findUnsettledShare(
  quota: TeamQuota,
  bounds: QuotaBounds,
  share: number,
): number {
  return UNSETTLED_FRACTION * findTolerance(quota, bounds) * share;
}
