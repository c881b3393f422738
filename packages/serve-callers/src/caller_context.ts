/** Dependencies that a node passes to its HTTP server for callers. */
import {type AgreedState} from '@mimosatack/agreed-state';
import {type RequestTokenSigner} from '@mimosatack/answer-streams';
import {type Clock} from '@mimosatack/clock';
import {type DrainGate} from '@mimosatack/drain-node';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type EventLogger} from '@mimosatack/logger';
import {type RandomSource} from '@mimosatack/random';
import {type TicketSigner} from '@mimosatack/unrepeatable';
import {type AbandonedRequests} from './abandoned_requests.js';
import {type FastifyServerFactory} from 'fastify';
import {type UnrepeatableRunner} from './unrepeatable_runner.js';
import {type RequestRouting} from './request_routing.js';

/** A live node that callers can send requests to. */
export interface EntryAddress {
  nodeName: string;
  baseUrl: string;
  failureDomain: string;
  region: string;
  incarnation: string;
}

/** Dependencies of the HTTP server for callers. */
export interface CallerContext extends RequestRouting {
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  incarnation: string;
  state(): AgreedState;
  board: EngineBoard;
  tokenSigner: TicketSigner;
  unrepeatable: UnrepeatableRunner;
  /** Issues and verifies the request ids that callers resume with. */
  tokens: RequestTokenSigner;
  abandoned: AbandonedRequests;
  /** Notifies the node that accepted a request that its caller resumed it. */
  notifyResumed(incarnation: string, engineRequestId: string): void;
  drainGate: DrainGate;
  limits: CallerLimits;
  /** Creates the underlying HTTP server; defaults to fastify's own. */
  serverFactory?: FastifyServerFactory;
  listEntries(): EntryAddress[];
}

/** Limits from the node's settings. */
export interface CallerLimits {
  maxBodyBytes: number;
  defaultDeadlineMs: number;
  maxDeadlineMs: number;
  entriesTtlMs: number;
  maxAnswerBytes: number;
  /** How long a caller may stop reading a stream before it is cut off. */
  callerStallMs: number;
  /** How long after the request's deadline its answer can be resumed. */
  resumeWindowMs: number;
}
