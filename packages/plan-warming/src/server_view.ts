/** What the planner knows of backend servers; partly hints. */
import {type BackendServer, type MemoryHold} from '@mimosatack/agreed-state';
import {type SlotPlan} from '@mimosatack/records';
import {type CacheTier, type EngineState} from '@mimosatack/types';
import {ServerRoom} from './server_room.js';

/** What the planner knows of one backend server. */
export interface ServerView {
  server: BackendServer;
  room: ServerRoom;
  /** Whether it is told to leave; its slots are moved in time. */
  isLeaving: boolean;
  /** Whether its engine has not answered for long; its slots count on. */
  isLost: boolean;
  /** Where a checkpoint lies on its host. */
  findTier(model: string, adapter: string | null, version: string): CacheTier;
  /** Whether a slot and its adapters are loaded. */
  isWarm(slotId: string): boolean;
}

/** What a view is made of. */
export interface ServerViewParts {
  server: BackendServer;
  holds: readonly MemoryHold[];
  /** The newest report of its engine; null when there is none. */
  engine: EngineState | null;
  isLeaving: boolean;
  isLost: boolean;
}

/** Makes the view of one backend server. */
export function makeServerView(parts: ServerViewParts): ServerView {
  const {server, holds, engine, isLeaving, isLost} = parts;
  return {
    server,
    room: new ServerRoom(server.memoryMib, holds),
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

/** The same views with what was planned taken from their room. */
export function takeRoom(
  views: readonly ServerView[],
  plans: readonly SlotPlan[],
): ServerView[] {
  return views.map(view => {
    const own = plans.filter(
      plan => plan.backendServerId === view.server.backendServerId,
    );
    if (own.length === 0) return view;
    return {...view, room: own.reduce((room, p) => room.with(p), view.room)};
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

/** The farthest tier of the base and adapters of a replica. */
export function findReplicaTier(
  view: ServerView,
  replica: {model: string; version: string; adapters: readonly string[]},
): CacheTier {
  const {model, version} = replica;
  return [null, ...replica.adapters]
    .map(adapter => view.findTier(model, adapter, version))
    .reduce((far, tier) => (TIER_RANK[tier] > TIER_RANK[far] ? tier : far));
}

/** The order of tiers from near to far, for sorting. */
export function rankTier(tier: CacheTier): number {
  return TIER_RANK[tier];
}
