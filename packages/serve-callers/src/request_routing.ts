/** Wires up routing, admission and the connections to backend servers. */
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
import {ReplicaLookup} from './replica_lookup.js';

/** Routing, admission and the connections to the backend servers. */
export interface RequestRouting {
  router: Router;
  admission: AdmissionGate;
  servingSets: ReplicaLookup;
  pools: BackendPools;
  retries: RetryBudget;
  hasher: PrefixHasher;
  stats: CallerStats;
}

export interface RequestRoutingOptions {
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  state: () => AgreedState;
  board: EngineBoard;
  failureDomain: string;
  /** The maximum number of waiting requests in one queue. */
  queueLimit: number;
  /** Retries allowed as a percentage of requests. */
  retryBudgetPercent: number;
  /** The number of nodes; called at most once a second. */
  countNodes: () => number;
  /** Reports that requests wait for a replica of the model. */
  reportDemand: (model: string) => void;
}

const QUEUE_LIMIT_BYTES = 64 * 1024 * 1024;
const PERCENT = 100;
const NODE_COUNT_TTL_MS = 1_000;

export function makeRequestRouting(
  options: RequestRoutingOptions,
): RequestRouting {
  const {clock, random, board, queueLimit, retryBudgetPercent} = options;
  const router = makeRouter(options);
  const admission = new AdmissionGate(clock, {
    ...{random, queueLimit},
    queueLimitBytes: QUEUE_LIMIT_BYTES,
  });
  subscribeToReports(board, router, admission);
  return {
    router,
    admission,
    servingSets: new ReplicaLookup({
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
 * Passes each load report to the router once. The board also emits an unchanged
 * load when a warm state changes; the router would take its requests since then
 * as included in that load and overload the backend server.
 */
function subscribeToReports(
  board: EngineBoard,
  router: Router,
  admission: AdmissionGate,
): void {
  const reportedAtMs = new Map<string, number>();
  board.onChange(report => {
    const {backendServerId} = report;
    const isNewReport =
      reportedAtMs.get(backendServerId) !== report.reportedAtMs;
    if (isNewReport && report.isReachable) {
      reportedAtMs.set(backendServerId, report.reportedAtMs);
      router.noteReport(backendServerId, report.load);
    }
    admission.startQueued();
  });
}

function makeRouter(options: RequestRoutingOptions): Router {
  const {clock, random, logger, state} = options;
  return new Router({
    ...{clock, random},
    countNodes: cacheNodeCount(clock, options.countNodes),
    ownDomain: options.failureDomain,
    findDomain: id => state().stewardship.findBackendServer(id)?.failureDomain,
    onCircuit: (backendServerId, circuit) =>
      circuit === 'open'
        ? logger.log('backend-suspected', {backendServerId, error: null})
        : logger.log('backend-trusted', {backendServerId}),
  });
}

/** Caches the node count, which every load report reads. */
function cacheNodeCount(clock: Clock, count: () => number): () => number {
  let cachedCount = 1;
  let cachedAtMs = -Infinity;
  return () => {
    const nowMs = clock.monotonicMs();
    if (nowMs - cachedAtMs < NODE_COUNT_TTL_MS) return cachedCount;
    cachedAtMs = nowMs;
    cachedCount = Math.max(1, count());
    return cachedCount;
  };
}
