/** What the callers' interface needs of the node it runs in. */
import {type AgreedState} from '@mimosatack/agreed-state';
import {type RequestTokenMint} from '@mimosatack/answer-streams';
import {type Clock} from '@mimosatack/clock';
import {type DrainGate} from '@mimosatack/drain-node';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type EventLogger} from '@mimosatack/logger';
import {type RandomSource} from '@mimosatack/random';
import {type TicketMint} from '@mimosatack/unrepeatable';
import {type AbandonedRequests} from './abandoned_requests.js';
import {type FastifyServerFactory} from 'fastify';
import {type UnrepeatableRunner} from './unrepeatable_runner.js';
import {type Answering} from './answering.js';

/** An address that callers may use, from this node's membership. */
export interface EntryAddress {
  nodeName: string;
  baseUrl: string;
  failureDomain: string;
  region: string;
  incarnation: string;
}

/** What the callers' interface needs of the node it runs in. */
export interface CallerContext extends Answering {
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  incarnation: string;
  state(): AgreedState;
  board: EngineBoard;
  mint: TicketMint;
  unrepeatable: UnrepeatableRunner;
  /** Makes and reads the ids by which callers resume. */
  tokens: RequestTokenMint;
  abandoned: AbandonedRequests;
  /** Tells another node that a caller has resumed a request it took in. */
  tellResumed(incarnation: string, engineRequestId: string): void;
  /** The shutdown as the server sees it. */
  gate: DrainGate;
  limits: CallerLimits;
  /** Makes the HTTP server; fastify's own when left out. */
  serverFactory?: FastifyServerFactory;
  listEntries(): EntryAddress[];
}

/** Limits from the settings. */
export interface CallerLimits {
  maxBodyBytes: number;
  defaultDeadlineMs: number;
  maxDeadlineMs: number;
  entriesTtlMs: number;
  maxAnswerBytes: number;
  /** How long a caller may leave its answer unread. */
  callerStallMs: number;
  /** How long after its deadline an answer can be resumed. */
  resumeWindowMs: number;
}
