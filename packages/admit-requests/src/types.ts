/** What admission is told and what it answers. */
import {type TeamName} from '@mimosatack/types';

/** The limits of one team, from its document. */
export interface TeamLimits {
  maxConcurrentRequests: number;
  requestsPerSecond: number;
}

/**
 * What is estimated to come in time: the first byte of a streamed answer, or
 * the whole of any other.
 */
export type WorkClass = 'streamed' | 'whole';

/** One request that asks to be admitted; times are monotonic. */
export interface AdmissionRequest {
  requestId: string;
  team: TeamName;
  teamLimits: TeamLimits;
  /** 0 to 9; 9 goes first. */
  priority: number;
  workClass: WorkClass;
  /** What the request takes of the node's memory while it is queued. */
  sizeBytes: number;
  arrivedAtMs: number;
  deadlineAtMs: number;
}

/** What is known of the replicas that could serve a request. */
export type Outlook =
  | {status: 'serving'}
  /** A replica is being loaded or will be. */
  | {status: 'warming'; expectedInMs: number}
  /** Nothing is going to be loaded, as far as is known. */
  | {status: 'cold'; comeBackInMs: number};

/** Why a request is refused before it ran. */
export type RefusalKind =
  | 'deadline-unmeetable'
  | 'deadline-exceeded'
  | 'overloaded'
  | 'not-warm'
  | 'rate-limited';

/** A final answer to a request that was not run. */
export interface Refusal {
  kind: RefusalKind;
  message: string;
  retryAfterMs: number;
}
