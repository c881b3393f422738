/** The interface of the policies that decide when replicas are loaded. */
import {type CacheTier} from '@mimosatack/types';
import {type ServerMemory} from './server_memory.js';
import {type StoreTimetable} from './store_timetable.js';

/** Expected duration of loading a replica's base model, then its adapters. */
export interface ReplicaLoadTimes {
  /** Transfers from the weight store, one after another. */
  storeMs: number;
  /** The rest of the load: reading a local cache and initializing. */
  initMs: number;
  /** The 99th percentile of observed loads minus their median. */
  spreadMs: number;
}

/** A replica to load on one backend server. */
export interface WarmingRequest {
  startsAtMs: number;
  endsAtMs: number;
  nowMs: number;
  memoryMib: number;
  /** The slowest tier among the replica's checkpoints. */
  tier: CacheTier;
  /** Whether the engine rejects a delayed unload by its old fencing number. */
  canStage: boolean;
  /** Load times from the weight store. */
  remote: ReplicaLoadTimes;
  /** Load times from a local cache. */
  near: ReplicaLoadTimes;
  /** Time that the store needs for all replicas of the event. */
  eventStoreMs: number;
  timetable: StoreTimetable;
  room: ServerMemory;
}

/** Load times of one replica. */
export interface WarmingTimes {
  /** Period of the staging load; null if the replica is not staged. */
  stage: {fromMs: number; untilMs: number} | null;
  /** Start of the final load. */
  loadAtMs: number;
  /** Duration of the transfer from the weight store. */
  storeMs: number;
}

export interface WarmingPolicy {
  readonly policyName: WarmingPolicyName;
  /**
   * The usual maximum lead of a load before the event start. If an event
   * change makes a slot's lead longer, the slot is planned again.
   */
  readonly maxLeadMs: number;
  /** Returns null to not preload the replica, or if memory is short. */
  chooseTimes(request: WarmingRequest): WarmingTimes | null;
}

export const WARMING_POLICY_NAMES = [
  'load-on-first-request',
  'fixed-lead',
  'timetable',
] as const;
export type WarmingPolicyName = (typeof WARMING_POLICY_NAMES)[number];

/** The operator's weights of cold starts and idle replicas, from 0 to 1. */
export interface WarmingWeights {
  coldStartWeight: number;
  idleWeight: number;
}

/**
 * Schedules a load without staging at `loadAtMs` or as soon as memory is free,
 * such as at the end of the previous event on the server.
 */
export function loadWithoutStaging(
  request: WarmingRequest,
  loadAtMs: number,
): WarmingTimes | null {
  const {room, memoryMib, endsAtMs} = request;
  const durationMs = endsAtMs - loadAtMs;
  const freeAtMs = room.findEarliestMs(memoryMib, loadAtMs, durationMs);
  if (freeAtMs === null || freeAtMs >= endsAtMs) return null;
  const storeMs = request.tier === 'remote' ? request.remote.storeMs : 0;
  return {stage: null, loadAtMs: freeAtMs, storeMs};
}
