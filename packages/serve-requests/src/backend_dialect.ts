/** How requests are put to backend servers, and what their answers say. */
import {type AnswerHead} from '@mimosatack/backend-connections';
import {type BackendServerEntry, type TeamName} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';

/** What this system says to a backend server beside the caller's request. */
export interface SendTerms {
  server: BackendServerEntry;
  /** The time that is left for the answer. */
  remainingMs: number;
  /** From 0, the most urgent; null leaves the server's own default. */
  priority: number | null;
  /** The team whose key the caller sent; null where it needs none. */
  team: TeamName | null;
  /** Events up to this one are there already; null for a whole answer. */
  lastEventId: number | null;
}

/** The load that a server tells with an answer. */
export interface ServerLoad {
  running: number;
  waiting: number;
  slots: number;
}

/** What the head of an answer says. */
export interface AnswerFacts {
  status: number;
  /** Headers to pass on, names and values by turns. */
  headers: readonly string[];
  /** Whether the server states that it has not run the request. */
  isNotRun: boolean;
  /** Whether it is another server, or does not hold the model asked for. */
  isMisdirected: boolean;
  /** Whether the answer is the server's own, and to this request. */
  isGenuine: boolean;
  load: ServerLoad | null;
}

/** Writes and reads the headers between this system and backend servers. */
export interface BackendDialect {
  makeHeaders(request: CallerRequest, terms: SendTerms): string[];
  readHead(head: AnswerHead, request: CallerRequest): AnswerFacts;
}
