/** Interface for choosing the backend server of a request. */
import {type TypedError} from '@mimosatack/errors';
import {type QuotaCharge} from '@mimosatack/team-quotas';
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServiceRoute,
  type ServiceSpec,
  type TeamName,
} from '@mimosatack/types';
import {type NamedTerms, type ServerLoad} from './backend_dialect.js';
import {type CallerRequest} from './caller_request.js';

/** The request and the constraints that a server is chosen for. */
export interface ServerAsk {
  request: CallerRequest;
  route: ServiceRoute;
  service: ServiceSpec;
  /** Servers that must not be chosen again. */
  excluded: ReadonlySet<BackendServerId>;
  /**
   * The only eligible servers once the request has reached as many servers as
   * its route allows; null for any.
   */
  allowed: ReadonlySet<BackendServerId> | null;
  /** The only software version that a stream may continue at; null for any. */
  softwareVersion: string | null;
  /** The deadline of the complete response, on the monotonic clock. */
  endsAtMs: number;
  /** Whether the caller has received the beginning of the response. */
  hasBegun: boolean;
  /** The cost to the team's quota; null for a team without a quota. */
  charge: QuotaCharge | null;
  /** The team of the caller's key; null where the route requires none. */
  team: TeamName | null;
  /** The priority of the team or the route; 0 is the most urgent. */
  priority: number;
  /** Aborted when the request no longer needs a server. */
  signal: AbortSignal;
}

/** The basis of a choice, as logged. */
export interface ChoiceBasis {
  /** Whether the scheduling node or this node chose the server. */
  by: 'schedule' | 'own-view';
  /** This node's requests in flight at the server, for `own-view`. */
  ownRequests?: number;
  /** The number of other eligible servers. */
  alternatives?: number;
  /** The fencing token of the scheduling node. */
  holderToken?: number;
  waitedMs?: number;
}

export interface ChosenServer {
  status: 'chosen';
  server: BackendServerEntry;
  basis: ChoiceBasis;
  /** Identifies the choice to the chooser; null if the chooser needs no id. */
  askId: string | null;
  /** What this node charged; refunded if the request does not run. */
  charge?: QuotaCharge | null;
}

export type ServerChoice =
  ChosenServer | {status: 'refused'; error: TypedError};

/** The result of an attempt, as reported to the chooser. */
export type AttemptResult =
  | 'answered'
  /** The server has no capacity, or is still loading what the request needs. */
  | 'not-taken'
  /** The server does not hold the requested model. */
  | 'not-held'
  /** The request failed through a fault of the server. */
  | 'failed'
  | 'unreachable'
  /** The attempt ended for a reason unrelated to the server. */
  | 'neutral';

/** Chooses servers by the loads and results of earlier attempts. */
export interface ServerChooser {
  choose(ask: ServerAsk): Promise<ServerChoice>;
  /** Gives back a chosen server that is not used. */
  release(choice: ChosenServer): void;
  recordSent(choice: ChosenServer): void;
  recordLoad(server: BackendServerEntry, load: ServerLoad): void;
  recordTerms(server: BackendServerEntry, terms: NamedTerms): void;
  /**
   * @param headMs time to the response head; null if none arrived.
   * @param isSuccess whether the response was complete and a success; false by default.
   */
  recordResult(
    choice: ChosenServer,
    result: AttemptResult,
    headMs: number | null,
    isSuccess?: boolean,
  ): void;
}
