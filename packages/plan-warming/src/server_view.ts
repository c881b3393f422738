/**
 * The planner's view of backend servers, from the log and from engine reports
 * that may be out of date.
 */
import {type BackendServer, type MemoryHold} from '@mimosatack/agreed-state';
import {type SlotPlan} from '@mimosatack/records';
import {type CacheTier, type EngineState} from '@mimosatack/types';
import {ServerMemory} from './server_memory.js';

/** The planner's view of one backend server. */
export interface ServerView {
  server: BackendServer;
  room: ServerMemory;
  /** Whether the server is being drained; its slots move elsewhere. */
  isLeaving: boolean;
  /** Whether the engine has stopped responding; its slots still count. */
  isLost: boolean;
  /** The fastest tier from which the server can load a checkpoint. */
  findTier(model: string, adapter: string | null, version: string): CacheTier;
  /** Whether a slot is loaded with all its adapters. */
  isWarm(slotId: string): boolean;
}

export interface ServerViewInput {
  server: BackendServer;
  holds: readonly MemoryHold[];
  /** The latest report of the server's engine, if any. */
  engine: EngineState | null;
  isLeaving: boolean;
  isLost: boolean;
}

export function makeServerView(parts: ServerViewInput): ServerView {
  const {server, holds, engine, isLeaving, isLost} = parts;
  return {
    server,
    room: new ServerMemory(server.memoryMib, holds),
    isLeaving,
    isLost,
    findTier: (model, adapter, version) =>
      engine?.cached.find(
        cached =>
          cached.model === model &&
          cached.adapter === adapter &&
          cached.version === version,
      )?.tier ?? 'remote',
    isWarm: slotId => isSlotWarm(slotId, engine),
  };
}

/** Copies of the views with the memory of the plans reserved. */
export function reserveMemory(
  views: readonly ServerView[],
  plans: readonly SlotPlan[],
): ServerView[] {
  return views.map(view => {
    const own = plans.filter(
      plan => plan.backendServerId === view.server.backendServerId,
    );
    if (own.length === 0) return view;
    return {
      ...view,
      room: own.reduce((room, p) => room.withPlan(p), view.room),
    };
  });
}

function isSlotWarm(slotId: string, engine: EngineState | null): boolean {
  const parts = (engine?.replicas ?? []).filter(
    replica =>
      replica.slotId === slotId || replica.slotId.startsWith(`${slotId}/`),
  );
  return (
    parts.some(part => part.slotId === slotId) &&
    parts.every(part => part.status === 'warm')
  );
}

const TIER_RANK: Record<CacheTier, number> = {memory: 0, disk: 1, remote: 2};

/** The slowest tier among a replica's base model and adapters. */
export function findReplicaTier(
  view: ServerView,
  replica: {model: string; version: string; adapters: readonly string[]},
): CacheTier {
  const {model, version} = replica;
  return [null, ...replica.adapters]
    .map(adapter => view.findTier(model, adapter, version))
    .reduce((far, tier) => (TIER_RANK[tier] > TIER_RANK[far] ? tier : far));
}

/** Sort key of a tier, fastest first. */
export function rankTier(tier: CacheTier): number {
  return TIER_RANK[tier];
}
