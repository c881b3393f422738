/** What the callers' interface needs of the node it runs in. */
import {type AgreedState} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type EventLogger} from '@mimosatack/logger';
import {type Router} from '@mimosatack/route-requests';
import {type TicketMint} from '@mimosatack/unrepeatable';
import {type FastifyServerFactory} from 'fastify';
import {type UnrepeatableRunner} from './unrepeatable_runner.js';

/** An address that callers may use, from this node's membership. */
export interface EntryAddress {
  nodeName: string;
  baseUrl: string;
  failureDomain: string;
  region: string;
  incarnation: string;
}

/** What the callers' interface needs of the node it runs in. */
export interface CallerContext {
  clock: Clock;
  logger: EventLogger;
  incarnation: string;
  state(): AgreedState;
  board: EngineBoard;
  router: Router;
  mint: TicketMint;
  unrepeatable: UnrepeatableRunner;
  limits: CallerLimits;
  /** Makes the HTTP server; fastify's own when left out. */
  serverFactory?: FastifyServerFactory;
  listEntries(): EntryAddress[];
  /** Asks for a replica of a model that requests wait for. */
  noteDemand(model: string): void;
}

/** Limits from the settings. */
export interface CallerLimits {
  maxBodyBytes: number;
  defaultDeadlineMs: number;
  maxDeadlineMs: number;
  entriesTtlMs: number;
}
