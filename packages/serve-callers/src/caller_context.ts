/** What the callers' interface needs of the node it runs in. */
import {type AdmissionGate} from '@mimosatack/admit-requests';
import {type AgreedState} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type BackendPools} from '@mimosatack/dispatch-requests';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type EventLogger} from '@mimosatack/logger';
import {type RandomSource} from '@mimosatack/random';
import {type RetryBudget} from '@mimosatack/retry-requests';
import {type PrefixHasher, type Router} from '@mimosatack/route-requests';
import {type KeyTable, type TicketMint} from '@mimosatack/unrepeatable';
import {type FastifyServerFactory} from 'fastify';
import {type CallerStats} from './caller_stats.js';
import {type ServingSets} from './serving_sets.js';

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
  random: RandomSource;
  logger: EventLogger;
  incarnation: string;
  state(): AgreedState;
  board: EngineBoard;
  router: Router;
  gate: AdmissionGate;
  servingSets: ServingSets;
  pools: BackendPools;
  retries: RetryBudget;
  hasher: PrefixHasher;
  stats: CallerStats;
  mint: TicketMint;
  keys: KeyTable;
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
}
