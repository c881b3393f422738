/** The parts of a node that serve callers, wired together. */
import {AdmissionGate} from '@mimosatack/admit-requests';
import {type AgreedState} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {BackendPools} from '@mimosatack/dispatch-requests';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type EventLogger} from '@mimosatack/logger';
import {type RandomSource} from '@mimosatack/random';
import {RetryBudget} from '@mimosatack/retry-requests';
import {Router, Sha256PrefixHasher} from '@mimosatack/route-requests';
import {
  type CallerContext,
  CallerStats,
  ServingSets,
  buildCallerServer,
} from '@mimosatack/serve-callers';
import {type DaemonSettings} from '@mimosatack/settings';
import {KeyTable, type TicketMint} from '@mimosatack/unrepeatable';
import {type FastifyInstance} from 'fastify';

/** What the caller side needs of its node. */
export interface CallerSideOptions {
  settings: DaemonSettings;
  clock: Clock;
  random: RandomSource;
  logger: EventLogger;
  incarnation: string;
  board: EngineBoard;
  mint: TicketMint;
  state: () => AgreedState;
  countNodes: () => number;
  listEntries: CallerContext['listEntries'];
  noteDemand: (model: string) => void;
}

const QUEUE_LIMIT_BYTES = 64 * 1024 * 1024;
const PERCENT = 100;

/** Routing, admission and the connections to the backend servers. */
export class CallerSide {
  readonly router: Router;
  readonly gate: AdmissionGate;
  readonly stats: CallerStats;
  private readonly pools = new BackendPools();
  /** Counted at each tick, since every routing decision asks for it. */
  private nodeCount = 1;

  constructor(private readonly options: CallerSideOptions) {
    const {settings, clock, random, board} = options;
    this.router = this.makeRouter();
    this.gate = new AdmissionGate(clock, {
      random,
      queueLimit: settings.queueLimit,
      queueLimitBytes: QUEUE_LIMIT_BYTES,
    });
    this.stats = new CallerStats(this.gate);
    board.onChange(({backendServerId, load, isReachable}) => {
      if (isReachable) this.router.noteReport(backendServerId, load);
      this.gate.pump();
    });
  }

  tick(): void {
    this.nodeCount = Math.max(1, this.options.countNodes());
  }

  /** Builds the server; it is started and closed by the node. */
  buildServer(serverFactory: CallerContext['serverFactory']): FastifyInstance {
    const {settings, clock, state, board, noteDemand} = this.options;
    return buildCallerServer({
      ...this.options,
      serverFactory,
      router: this.router,
      gate: this.gate,
      servingSets: new ServingSets({
        clock,
        state,
        board,
        isLeaving: id => this.router.isLeaving(id),
        noteDemand,
      }),
      pools: this.pools,
      retries: new RetryBudget(settings.retryBudgetPercent / PERCENT),
      hasher: new Sha256PrefixHasher(),
      stats: this.stats,
      keys: new KeyTable(),
      limits: settings,
    });
  }

  async close(): Promise<void> {
    await this.pools.close();
  }

  private makeRouter(): Router {
    const {settings, clock, random, logger, state} = this.options;
    return new Router({
      clock,
      random,
      ownDomain: settings.failureDomain,
      findDomain: id =>
        state().stewardship.findBackendServer(id)?.failureDomain,
      countNodes: () => this.nodeCount,
      onCircuit: (backendServerId, circuit) =>
        circuit === 'open'
          ? logger.log('backend-suspected', {backendServerId, error: null})
          : logger.log('backend-trusted', {backendServerId}),
    });
  }
}
