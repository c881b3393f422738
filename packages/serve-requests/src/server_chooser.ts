/** Who chooses the backend server that a request is sent to. */
import {type TypedError} from '@mimosatack/errors';
import {type QuotaCharge} from '@mimosatack/team-quotas';
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServiceRoute,
  type ServiceSpec,
} from '@mimosatack/types';
import {type ServerLoad} from './backend_dialect.js';
import {type CallerRequest} from './caller_request.js';

/** What a server is chosen for. */
export interface ServerAsk {
  request: CallerRequest;
  route: ServiceRoute;
  service: ServiceSpec;
  /** Servers that were tried already. */
  excluded: ReadonlySet<BackendServerId>;
  /**
   * The only servers that it may still be sent to, since it was sent to as
   * many as its route allows; null for any.
   */
  allowed: ReadonlySet<BackendServerId> | null;
  /** When the answer has to be whole, on the monotonic clock. */
  endsAtMs: number;
  /** Whether the caller has a part of the answer and waits for the rest. */
  hasBegun: boolean;
  /** What it takes out of its team's quota; null where nothing is counted. */
  charge: QuotaCharge | null;
  /** Of its team, or of its route; 0 is the most urgent. */
  priority: number;
  /** Aborted when the request no longer waits. */
  signal: AbortSignal;
}

/** What a choice rested on, for the log. */
export interface ChoiceBasis {
  /** By the node that schedules, or by this node's own view. */
  by: 'schedule' | 'own-view';
  /** Requests of this node at the server, for a choice by the own view. */
  ownRequests?: number;
  /** Other servers that could have been chosen. */
  alternatives?: number;
  /** The fencing token of the node that schedules. */
  holderToken?: number;
  /** How long the choice took. */
  waitedMs?: number;
}

/** A server to send to. */
export interface ChosenServer {
  status: 'chosen';
  server: BackendServerEntry;
  basis: ChoiceBasis;
  /** By which the chooser knows the choice again; null when it need not. */
  askId: string | null;
  /** What was charged at this node, to be given back if it has not run. */
  charge?: QuotaCharge | null;
}

/** The server to send to, or why there is none. */
export type ServerChoice =
  ChosenServer | {status: 'refused'; error: TypedError};

/** How an attempt at a server went. */
export type AttemptResult =
  | 'answered'
  /** The server has no room for it, or still loads what it needs. */
  | 'not-taken'
  /** The server does not hold the model that it needs. */
  | 'not-held'
  /** It failed the request by a fault of its own. */
  | 'failed'
  /** It could not be reached. */
  | 'unreachable'
  /** It ended for a reason that says nothing of the server. */
  | 'neutral';

/** Chooses servers and learns how the attempts go. */
export interface ServerChooser {
  choose(ask: ServerAsk): Promise<ServerChoice>;
  /** The chosen server is not used after all. */
  release(choice: ChosenServer): void;
  noteSent(choice: ChosenServer): void;
  noteLoad(server: BackendServerEntry, load: ServerLoad): void;
  /** @param headMs until the answer began; null if it did not. */
  noteDone(
    choice: ChosenServer,
    result: AttemptResult,
    headMs: number | null,
  ): void;
}
