/** Types of admission requests and refusals. */
import {type TeamName} from '@mimosatack/types';

/** The limits of one team, from its settings document. */
export interface TeamLimits {
  maxConcurrentRequests: number;
  requestsPerSecond: number;
}

/**
 * What has to arrive before the deadline: the first byte of a `streamed` answer
 * or the `whole` answer.
 */
export type WorkClass = 'streamed' | 'whole';

/** A request for admission; times are from the monotonic clock. */
export interface AdmissionRequest {
  requestId: string;
  team: TeamName;
  teamLimits: TeamLimits;
  /** 0 to 9, 9 being the highest. */
  priority: number;
  workClass: WorkClass;
  /** Memory that the request uses while queued. */
  sizeBytes: number;
  arrivedAtMs: number;
  deadlineAtMs: number;
}

/** Availability of the replicas that can serve a request. */
export type ReplicaAvailability =
  | {status: 'serving'}
  /** A replica is loading or scheduled to load. */
  | {status: 'warming'; readyInMs: number}
  /** No replica is known to be loading or scheduled to load. */
  | {status: 'cold'; retryAfterMs: number};

/** Why a request was refused before it ran. */
export type RefusalKind =
  | 'deadline-unmeetable'
  | 'deadline-exceeded'
  | 'overloaded'
  | 'not-warm'
  | 'rate-limited';

/** The final answer to a request that was not run. */
export interface Refusal {
  kind: RefusalKind;
  message: string;
  retryAfterMs: number;
}
