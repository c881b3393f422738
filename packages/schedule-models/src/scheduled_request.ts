/** The inputs and decisions of the scheduler. */
import {
  type AdapterName,
  type BackendServerEntry,
  type BackendServerId,
  type ModelName,
  type ServerStartMs,
  type ServiceName,
  type TeamName,
  isVersionAllowed,
} from '@mimosatack/types';
import {type WeightTier} from './cached_weights.js';

/** A request that waits for an engine. Times are on the monotonic clock. */
export interface ScheduledRequest {
  /** Unique across all requests of all nodes. */
  askId: string;
  service: ServiceName;
  model: ModelName;
  adapter: AdapterName | null;
  promptTokens: number;
  /** Estimated output length. */
  outputTokens: number;
  /** 0 is the most urgent. */
  priority: number;
  arrivedAtMs: number;
  /** Latest start of a response that counts as on time. */
  dueAtMs: number;
  /** The longest acceptable pause between stream events; null for none. */
  gapMs: number | null;
  /** When the caller gives up; a later response is worthless. */
  endsAtMs: number;
  /** Engines that have already been tried. */
  excluded: ReadonlySet<BackendServerId>;
  /** The only engines to which the request may be sent; null for any. */
  allowed: ReadonlySet<BackendServerId> | null;
  /** The only software version that a stream may continue at; null for any. */
  softwareVersion: string | null;
  /** The team of the caller; null for requests without a key. */
  team: TeamName | null;
  /** The requesting node; engines may be unreachable from some nodes only. */
  nodeId: string;
}

export function isEngineAllowed(
  request: ScheduledRequest,
  entry: BackendServerEntry,
): boolean {
  const {excluded, allowed} = request;
  return (
    isVersionAllowed(request, entry) &&
    !excluded.has(entry.id) &&
    (allowed?.has(entry.id) ?? true)
  );
}

/** How an assigned request has ended. */
export type RunResult =
  | 'served'
  /** The engine has no free slot or is still loading what the request needs. */
  | 'not-taken'
  /** The engine does not hold the model. */
  | 'not-held'
  /** The engine failed the request. */
  | 'failed'
  | 'unreachable'
  | 'neutral';

/** Whether the result proves that the engine has not run the request. */
export function isNotRun(result: RunResult | 'answered'): boolean {
  return (
    result === 'not-taken' || result === 'not-held' || result === 'unreachable'
  );
}

export type RefusalReason =
  /** The model or the adapter is not configured. */
  | 'unknown-model'
  /** No engine caches the weights, and fetching them takes too long. */
  | 'weights-remote'
  /** No engine will have a free slot in time. */
  | 'no-room'
  /** No engine has the software version that the stream began at. */
  | 'version-gone';

/**
 * An order to one engine. The engine rejects the order unless it has accepted
 * exactly `expectedCount` orders before.
 */
export interface PlannedOrder {
  engineId: BackendServerId;
  operation: 'load' | 'unload';
  model: ModelName;
  adapter: AdapterName | null;
  expectedCount: number;
  /** Where a model is loaded from; null for adapters and unloads. */
  tier: WeightTier | null;
}

/** What a request uses of the share of its team. */
export interface ShareCharge {
  /** Null for requests without a key. */
  team: TeamName | null;
  cost: number;
}

/** Why the share of a team leaves no room for a request. */
export interface ShareForecast {
  /** The share of the engines that hold the model. */
  teamShare: number;
  /** Infinite if it never starts while its team asks for as much as now. */
  startsInMs: number;
  /** Age of the newest observation behind the forecast. */
  dataAgeMs: number;
}

/** A refusal for lack of room where teams have shares. */
export interface ShareRefusal extends ShareCharge {
  /** Null if the request was refused after it had waited. */
  forecast: ShareForecast | null;
}

export type Decision =
  | {kind: 'assign'; askId: string; engineId: BackendServerId}
  | {
      kind: 'refuse';
      askId: string;
      reason: RefusalReason;
      /** Delay in milliseconds after which a retry makes sense. */
      retryAfterMs: number;
      /** Set for lack of room where teams have shares. */
      share?: ShareRefusal;
    }
  | {kind: 'order'; order: PlannedOrder};

export type OrderOutcome =
  /** The engine executes the order. */
  | 'accepted'
  /** The engine is already in the ordered state. */
  | 'holds'
  /** Another order is in progress, or other orders were accepted before. */
  | 'conflict'
  /** Refused for a reason that a retry does not change. */
  | 'refused'
  /** Another engine has replaced this one at its address. */
  | 'replaced'
  /** No response; the order may still be executed. */
  | 'unknown';

/** The state that an engine reports. */
export interface EngineReport {
  /** Start time of the incarnation that reports. */
  startedAtMs: ServerStartMs;
  orderCount: number;
  isBusy: boolean;
  residents: ReadonlyArray<{
    model: ModelName;
    adapters: readonly AdapterName[];
  }>;
}
