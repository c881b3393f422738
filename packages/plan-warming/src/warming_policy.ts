/** When a replica is loaded for an event: policies behind one interface. */
import {type CacheTier} from '@mimosatack/types';
import {type ServerRoom} from './server_room.js';
import {type StoreTimetable} from './store_timetable.js';

/** How long all parts of one replica take, the base first, then adapters. */
export interface ReplicaLoadTimes {
  /** Transfers from the weight store, one after the other. */
  storeMs: number;
  /** Everything else. */
  initMs: number;
  spreadMs: number;
}

/** One replica that an event needs, on one backend server. */
export interface WarmingRequest {
  startsAtMs: number;
  endsAtMs: number;
  nowMs: number;
  memoryMib: number;
  /** Where the checkpoints lie; `remote` if any part is not near. */
  tier: CacheTier;
  /** Whether an order that is late can be cut off by a newer one. */
  canStage: boolean;
  remote: ReplicaLoadTimes;
  near: ReplicaLoadTimes;
  /** How long the store takes for all replicas of the event. */
  eventStoreMs: number;
  timetable: StoreTimetable;
  room: ServerRoom;
}

/** When the loads of one replica begin. */
export interface WarmingTimes {
  stage: {fromMs: number; untilMs: number} | null;
  loadAtMs: number;
  storeMs: number;
}

/** Decides when a replica is loaded. */
export interface WarmingPolicy {
  readonly policyName: WarmingPolicyName;
  /**
   * How long before an event its loads begin at the most, as a rule. A slot
   * that is earlier once its event was changed is planned anew.
   */
  readonly maxAheadMs: number;
  /** Null when nothing is to be loaded ahead, or when there is no room. */
  chooseTimes(request: WarmingRequest): WarmingTimes | null;
}

export const WARMING_POLICY_NAMES = [
  'load-on-first-request',
  'fixed-lead',
  'timetable',
] as const;
export type WarmingPolicyName = (typeof WARMING_POLICY_NAMES)[number];

/** What the operator weighs against each other, each from 0 to 1. */
export interface WarmingWeights {
  coldStartWeight: number;
  idleWeight: number;
}

/**
 * A load without staging, as soon after `loadAtMs` as there is memory. An
 * event that follows another on the same memory is loaded when that one ends.
 */
export function loadPlainly(
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
