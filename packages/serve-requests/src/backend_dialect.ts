/** Interface of the protocol between this system and backend servers. */
import {
  type AnswerHead,
  type ResponseIdentity,
} from '@mimosatack/backend-connections';
import {type NamedLimit} from '@mimosatack/share-limits';
import {type AvailabilityFacts} from '@mimosatack/track-availability';
import {type BackendServerEntry, type TeamName} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';

/** What a backend server receives in addition to the caller's request. */
export interface SendParameters {
  server: BackendServerEntry;
  /** The time left until the deadline of the response. */
  remainingMs: number;
  /** 0 is the most urgent; null keeps the server's default. */
  priority: number | null;
  /** The team of the caller's key; null where the route requires none. */
  team: TeamName | null;
  /** The last event that the caller has; null for the complete response. */
  lastEventId: number | null;
}

/** The load that a server reports in a response head. */
export interface ServerLoad {
  running: number;
  waiting: number;
  slots: number;
  /**
   * How long work takes on the machine at this moment, in percent of the usual time; null
   * if the server does not say it in a readable form.
   */
  slowdownPercent: number | null;
}

/** What a server says of the load that it takes from all hosts. */
export interface NamedTerms {
  /** The rejections per second that it tolerates; null if it does not say. */
  brittlePerSecond: number | null;
  /** Whether it names a limit. */
  isLimited: boolean;
}

/** The decoded head of a response. */
export interface AnswerFacts {
  status: number;
  /** Headers to forward, as alternating names and values. */
  headers: readonly string[];
  /** Whether the server states that it did not run the request. */
  isNotRun: boolean;
  /** Whether a caller who gets this status takes it that the request has not run. */
  readsAsNotRun: boolean;
  /** Whether another server responded, or one without the requested model. */
  isMisdirected: boolean;
  /** Whether the response is signed, and its body is as the server made it. */
  isGenuine: boolean;
  /** Whether the body was encoded on the way, so that it is not the server's. */
  isEncoded: boolean;
  load: ServerLoad | null;
  /** Requests per second that the server takes from all hosts together. */
  limit: NamedLimit;
  /** Rejections per second beyond which the server fails; null if it does not say. */
  brittlePerSecond: number | null;
  availability: AvailabilityFacts;
}

/** Encodes request headers and decodes response heads. */
export interface BackendDialect {
  makeHeaders(request: CallerRequest, terms: SendParameters): string[];
  /** Called once for each request; all its attempts share the identity. */
  identify(request: CallerRequest): ResponseIdentity;
  /** Decodes a response that belongs to the request. */
  readHead(head: AnswerHead): AnswerFacts;
}
