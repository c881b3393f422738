/** Requests for places at plain servers, and what is decided about them. */
import {type ShareItem} from '@mimosatack/share-capacity';
import {
  type BackendServerId,
  type ServerStartMs,
  type ServiceName,
} from '@mimosatack/types';

/** A request that waits for a place; times are on the monotonic clock of the scheduler. */
export interface PlaceRequest extends ShareItem {
  service: ServiceName;
  nodeAddress: string;
  /** The run of the node's process, which ends with its requests. */
  incarnation: string;
  /** The request is refused if it cannot start by then. */
  waitDeadlineAtMs: number;
  /** When a run that was not reported as ended frees its place. */
  endsAtMs: number;
  excluded: ReadonlySet<BackendServerId>;
  /** The only eligible servers; null for any. */
  allowed: ReadonlySet<BackendServerId> | null;
}

/** How a run ended. */
export type PlaceResult =
  | 'served'
  /** The server rejected the request for want of room. */
  | 'not-taken'
  | 'failed'
  | 'unreachable'
  /** Ended for a reason unrelated to the server. */
  | 'neutral'
  /** Was never sent to the server. */
  | 'unsent';

export type PressureCause = 'rejection' | 'load' | 'brittle' | 'limit';

/** A node's report of a server that requires coordination. */
export interface Pressure {
  service: ServiceName;
  serverId: BackendServerId;
  startedAtMs: ServerStartMs;
  cause: PressureCause;
  /** The rejections per second that the server tolerates; null if it does not say. */
  brittlePerSecond: number | null;
}

/** What a refusal rests on. */
export interface RefusalForecast {
  startsInMs: number;
  /** The share of the places that the team gets. */
  teamShare: number;
  /** Age of the newest observation behind the forecast. */
  dataAgeMs: number;
}

export type PlaceDecision =
  | {
      kind: 'assign';
      request: PlaceRequest;
      serverId: BackendServerId;
    }
  | {
      kind: 'refuse';
      request: PlaceRequest;
      /** Null if no server is eligible, or without data. */
      forecast: RefusalForecast | null;
      /** Whether it is refused before it has waited. */
      isOnArrival: boolean;
      retryAfterMs: number;
    }
  /** The request waits. */
  | {kind: 'queue'; request: PlaceRequest}
  /** The requests have ended without a message of their node. */
  | {
      kind: 'abandon';
      cause: 'node-restarted' | 'node-removed' | 'deadline-passed';
      running: readonly PlaceRequest[];
      waiting: readonly PlaceRequest[];
    }
  /** No request of the process is left; follows the decision that abandons them. */
  | {kind: 'process-ended'; incarnation: string}
  | {
      kind: 'lower-limit';
      service: ServiceName;
      serverId: BackendServerId;
      /** Requests that the server may have at once from now on. */
      limit: number;
      previousLimit: number;
    }
  | {
      kind: 'coordinate';
      service: ServiceName;
      isCoordinated: boolean;
      cause: PressureCause | 'no-pressure';
    };
