/** What takes requests to the backend servers, wired together. */
import {AdmissionGate} from '@mimosatack/admit-requests';
import {type AgreedState} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {BackendPools} from '@mimosatack/dispatch-requests';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type EventLogger} from '@mimosatack/logger';
import {type RandomSource} from '@mimosatack/random';
import {RetryBudget} from '@mimosatack/retry-requests';
import {
  type PrefixHasher,
  Router,
  Sha256PrefixHasher,
} from '@mimosatack/route-requests';
import {CallerStats} from './caller_stats.js';
import {ServingSets} from './serving_sets.js';

/** Routing, admission and the connections to the backend servers. */
export interface Answering {
  router: Router;
  admission: AdmissionGate;
  servingSets: ServingSets;
  pools: BackendPools;
  retries: RetryBudget;
  hasher: PrefixHasher;
  stats: CallerStats;
}

/** What answering is wired to. */
export interface AnsweringOptions {
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  state: () => AgreedState;
  board: EngineBoard;
  failureDomain: string;
  /** Requests that may wait in one queue. */
  queueLimit: number;
  /** Retries allowed for each hundred requests. */
  retryBudgetPercent: number;
  /** How many nodes there are; asked for once a second at most. */
  countNodes: () => number;
  /** Asks for a replica of a model that requests wait for. */
  noteDemand: (model: string) => void;
}

const QUEUE_LIMIT_BYTES = 64 * 1024 * 1024;
const PERCENT = 100;
const COUNT_INTERVAL_MS = 1_000;

export function makeAnswering(options: AnsweringOptions): Answering {
  const {clock, random, board, queueLimit, retryBudgetPercent} = options;
  const router = makeRouter(options);
  const admission = new AdmissionGate(clock, {
    ...{random, queueLimit},
    queueLimitBytes: QUEUE_LIMIT_BYTES,
  });
  followBoard(board, router, admission);
  return {
    router,
    admission,
    servingSets: new ServingSets({
      ...options,
      isLeaving: id => router.isLeaving(id),
    }),
    pools: new BackendPools(),
    retries: new RetryBudget(retryBudgetPercent / PERCENT),
    hasher: new Sha256PrefixHasher(),
    stats: new CallerStats(admission),
  };
}

/**
 * Guards against an old load taken for a new one: the board also tells of
 * changes of the warm state, with the load as it was. The router would count
 * its own requests since as seen by that load, and send too many.
 */
function followBoard(
  board: EngineBoard,
  router: Router,
  admission: AdmissionGate,
): void {
  const reportedAtMs = new Map<string, number>();
  board.onChange(report => {
    const {backendServerId} = report;
    const isNews = reportedAtMs.get(backendServerId) !== report.reportedAtMs;
    if (isNews && report.isReachable) {
      reportedAtMs.set(backendServerId, report.reportedAtMs);
      router.noteReport(backendServerId, report.load);
    }
    admission.pump();
  });
}

function makeRouter(options: AnsweringOptions): Router {
  const {clock, random, logger, state} = options;
  return new Router({
    ...{clock, random},
    countNodes: keepCount(clock, options.countNodes),
    ownDomain: options.failureDomain,
    findDomain: id => state().stewardship.findBackendServer(id)?.failureDomain,
    onCircuit: (backendServerId, circuit) =>
      circuit === 'open'
        ? logger.log('backend-suspected', {backendServerId, error: null})
        : logger.log('backend-trusted', {backendServerId}),
  });
}

/** Counts again once a second; every load report asks for the number. */
function keepCount(clock: Clock, count: () => number): () => number {
  let counted = 1;
  let countedAtMs = -Infinity;
  return () => {
    const nowMs = clock.monotonicMs();
    if (nowMs - countedAtMs < COUNT_INTERVAL_MS) return counted;
    countedAtMs = nowMs;
    counted = Math.max(1, count());
    return counted;
  };
}
