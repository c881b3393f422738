/**
 * Runs the server for callers with engine stand-ins on loopback, for tests and
 * measurements.
 */
import {createHash} from 'node:crypto';
import {AgreedState} from '@mimosatack/agreed-state';
import {RequestTokenSigner} from '@mimosatack/answer-streams';
import {SystemClock} from '@mimosatack/clock';
import {DrainGate, InFlight} from '@mimosatack/drain-node';
import {EngineBoard} from '@mimosatack/engine-board';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import {
  type EngineOptions,
  type EngineStandIn,
  type RunningBackend,
  startEngineStandIn,
} from '@mimosatack/stand-ins';
import {TicketSigner} from '@mimosatack/unrepeatable';
import {AbandonedRequests} from './abandoned_requests.js';
import {makeRequestRouting} from './request_routing.js';
import {type CallerContext} from './caller_context.js';
import {makeTicketRunner} from './caller_fixture.js';
import {buildCallerServer} from './caller_server.js';

export const MODEL = 'm';
/** Bearer tokens by team. */
export const TOKENS = {alpha: 'token-of-alpha', beta: 'token-of-beta'} as const;

export interface LoopbackOptions {
  engines: ReadonlyArray<Partial<EngineOptions>>;
  queueLimit?: number;
  maxConcurrentRequests?: number;
  requestsPerSecond?: number;
  maxBodyBytes?: number;
  /** The interval of engine reports; 0 for one report at the start. */
  reportIntervalMs?: number;
}

export interface Loopback {
  baseUrl: string;
  context: CallerContext;
  engines: readonly RunningBackend<EngineStandIn>[];
  demandedModels: string[];
  /** Records a load report of every engine. */
  report(): void;
  close(): Promise<void>;
}

const SECRET = 'a secret of the cluster';
const MIB = 1_000;
const FAST_ENGINE: Partial<EngineOptions> = {
  initMs: 0,
  firstTokenMs: 0,
  tokenMs: 0,
  unloadMs: 0,
  loadReportLagMs: 0,
};

export async function startLoopback(
  options: LoopbackOptions,
): Promise<Loopback> {
  const engines = await Promise.all(
    options.engines.map((engine, index) =>
      startEngineStandIn({
        ...FAST_ENGINE,
        backendServerId: `r${index}`,
        failureDomain: `hall-${index}`,
        memoryMib: 10 * MIB,
        ...engine,
      }),
    ),
  );
  const state = makeState(engines, options);
  const board = new EngineBoard();
  const demandedModels: string[] = [];
  const context = makeContext(state, board, demandedModels, options);
  engines.forEach(engine => loadModel(engine.core));
  const report = () =>
    engines.forEach(engine => noteEngineReport(engine, board));
  await waitUntil(() => {
    report();
    return board.listWarm(MODEL, null).length === engines.length;
  });
  const interval = options.reportIntervalMs
    ? setInterval(report, options.reportIntervalMs)
    : undefined;
  const server = buildCallerServer(context);
  const baseUrl = await server.listen({host: '127.0.0.1', port: 0});
  const close = async () => {
    clearInterval(interval);
    server.server.closeAllConnections();
    await server.close();
    await context.pools.close();
    await Promise.all(engines.map(engine => engine.kill()));
  };
  return {baseUrl, context, engines, demandedModels, report, close};
}

export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5));
}

function loadModel(engine: EngineStandIn): void {
  engine.applyOrder({
    order: 'load',
    orderId: 'o1',
    fencingNumber: 1,
    slotId: makeSlotId(engine),
    model: MODEL,
    adapter: null,
    version: '1',
    memoryMib: MIB,
  });
}

function makeSlotId(engine: EngineStandIn): string {
  return `s-${engine.options.backendServerId}`;
}

/** Records the engine's current state on the board as a report. */
export function noteEngineReport(
  {core}: RunningBackend<EngineStandIn>,
  board: EngineBoard,
): void {
  const engine = core.readState();
  board.applyReport({
    backendServerId: engine.backendServerId,
    reportedAtMs: performance.timeOrigin + performance.now(),
    engine,
    load: engine.load,
    isReachable: true,
  });
}

function makeState(
  engines: readonly RunningBackend<EngineStandIn>[],
  options: LoopbackOptions,
): AgreedState {
  const state = new AgreedState();
  const {configuration, stewardship, placement} = state;
  Object.entries(TOKENS).forEach(([team, token]) => {
    const tokenHash = createHash('sha256').update(token).digest('hex');
    const {maxConcurrentRequests = 100_000, requestsPerSecond = 100_000} =
      options;
    const content = {
      tokens: [{name: 'app', role: 'caller', tokenHash}],
      limits: {maxConcurrentRequests, requestsPerSecond},
    };
    put('team', team, content);
  });
  put('model', MODEL, {
    pool: 'sage-llm',
    version: '1',
    memoryMib: MIB,
    adapters: {tuned: {memoryMib: 1}},
    onDemand: {maxReplicas: engines.length},
  });
  engines.forEach(({core, baseUrl}) => {
    const {backendServerId, failureDomain, region, fencing} = core.options;
    const {accelerators, memoryMib} = core.options;
    stewardship.register({
      type: 'register-backend-server',
      backendServerId,
      hostId: backendServerId,
      baseUrl,
      pool: 'sage-llm',
      failureDomain,
      region,
      fencing,
      accelerators,
      memoryMib,
    });
  });
  placement.decide(
    {
      type: 'decide-slots',
      purpose: {for: 'demand', model: MODEL},
      targetRevision: configuration.find('model', MODEL)?.sequence ?? 0,
      expectedPlan: 0,
      slots: engines.map(({core}) => ({
        slotId: makeSlotId(core),
        model: MODEL,
        version: '1',
        adapters: [],
        backendServerId: core.options.backendServerId,
        memoryMib: MIB,
        stage: null,
        loadAtMs: Date.now() - 1_000,
        storeMs: 0,
        untilMs: Date.now() + 3_600_000,
        replaces: null,
      })),
    },
    1,
  );
  return state;

  function put(kind: 'team' | 'model', id: string, content: object): void {
    configuration.put(
      {
        type: 'put-document',
        kind,
        id,
        expectedVersion: 0,
        content: {...content},
      },
      1,
    );
  }
}

function makeContext(
  state: AgreedState,
  board: EngineBoard,
  demandedModels: string[],
  options: LoopbackOptions,
): CallerContext {
  const clock = new SystemClock();
  const random = new SeededRandom(1);
  const logger = new MemoryEventLogger();
  const gate = new DrainGate(new InFlight(clock));
  gate.applyPhase('serving');
  return {
    ...{clock, random, logger, board, drainGate: gate, state: () => state},
    ...makeRequestRouting({
      ...{clock, random, logger, board, state: () => state},
      failureDomain: 'hall-0',
      queueLimit: options.queueLimit ?? 1_000,
      retryBudgetPercent: 10,
      countNodes: () => 1,
      reportDemand: model => demandedModels.push(model),
    }),
    incarnation: 'entry-0.1',
    tokens: new RequestTokenSigner(SECRET),
    abandoned: new AbandonedRequests(clock, 0),
    notifyResumed: () => undefined,
    tokenSigner: new TicketSigner(SECRET),
    unrepeatable: makeTicketRunner('entry-0', clock),
    limits: {
      maxBodyBytes: options.maxBodyBytes ?? 1_048_576,
      defaultDeadlineMs: 10_000,
      maxDeadlineMs: 120_000,
      entriesTtlMs: 5_000,
      maxAnswerBytes: 16 * 1024 * 1024,
      callerStallMs: 20_000,
      resumeWindowMs: 10_000,
    },
    listEntries: () => [],
  };
}
