/** How far all nodes together may go beyond a quota, and how that is used. */
import {type TeamQuota} from '@mimosatack/types';
import {type BucketTerms} from './token_bucket.js';

/** The bound that must hold in each window of time. */
export interface QuotaBounds {
  windowMs: number;
  /** What may be served beyond the quota, as a part of it. */
  overage: number;
  /** What may be served beyond that, in the unit of the quota. */
  slack: number;
}

const MS_PER_SECOND = 1_000;
/**
 * Part of the tolerance that is in the bucket itself, so that no request within
 * the quota is refused for the order in which nodes' news arrive.
 */
const BUCKET_PART = 0.25;
/** Part of it that nodes may spend before the holder knows. */
const UNSETTLED_PART = 0.35;
/**
 * Part of it with which a process begins that was never told what teams have left:
 * whatever was served before all nodes were lost, this much more is allowed.
 */
const START_PART = 0.3;

/** What may be served in one window beyond the quota. */
export function findTolerance(
  {ratePerSecond, burst}: TeamQuota,
  {windowMs, overage, slack}: QuotaBounds,
): number {
  const quota = (ratePerSecond * windowMs) / MS_PER_SECOND + burst;
  return quota * overage + slack;
}

export function findBucketTerms(
  quota: TeamQuota,
  bounds: QuotaBounds,
): BucketTerms {
  const spare = BUCKET_PART * findTolerance(quota, bounds);
  const {ratePerSecond, burst} = quota;
  return {ratePerSecond, capacity: burst + spare};
}

/** What a team has at a process that was never told. */
export function findStartLevel(quota: TeamQuota, bounds: QuotaBounds): number {
  return START_PART * findTolerance(quota, bounds);
}

/** What one of `nodeCount` nodes may spend before the holder knows. */
export function findUnsettledShare(
  quota: TeamQuota,
  bounds: QuotaBounds,
  nodeCount: number,
): number {
  return (UNSETTLED_PART * findTolerance(quota, bounds)) / nodeCount;
}
