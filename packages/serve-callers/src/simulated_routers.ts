/** Simulates routers and engines on a manual clock, for measurements. */
import {
  AdmissionGate,
  type ReplicaAvailability,
} from '@mimosatack/admit-requests';
import {ManualClock} from '@mimosatack/clock';
import {SeededRandom, pickOne} from '@mimosatack/random';
import {Router} from '@mimosatack/route-requests';
import {EngineStandIn} from '@mimosatack/stand-ins';
import {type LoadReport} from '@mimosatack/types';

export const ROUTERS = 8;
export const ENGINES = 12;
export const MAX_RUNNING = 8;
const FIRST_TOKEN_MS = 20;
const TOKEN_MS = 5;
const MIN_TOKENS = 4;
const MAX_TOKENS = 60;
const REPORT_LAG_MS = 500;
const REPORT_INTERVAL_MS = 500;
const MODEL = 'm';
const COOL_DOWN_MS = 120_000;

const MEAN_SERVICE_MS =
  FIRST_TOKEN_MS + TOKEN_MS * ((MIN_TOKENS + MAX_TOKENS) / 2 - 1);

/** The outcome of one request; times are relative to its arrival. */
export interface SimulatedOutcome {
  status: 'answered' | 'refused';
  /** Until an engine started it. */
  waitedMs: number;
  /** Until its final answer. */
  latencyMs: number;
}

export interface SimulationOptions {
  strategy: StrategyName;
  /** Offered load as a fraction of the capacity of all engines. */
  utilization: number;
  seed: number;
  /** How long requests arrive. */
  durationMs: number;
  /** Requests that arrive earlier are not counted. */
  warmUpMs: number;
  deadlineMs: number;
}

/** A routing strategy, as run by one router. */
interface Strategy {
  noteReport(engine: number, load: LoadReport): void;
  /** Calls `start` with the chosen engine, or rejects a refused request. */
  send(
    requestId: string,
    deadlineMs: number,
    start: (engine: number) => Promise<void>,
  ): Promise<void>;
}

interface Simulation {
  clock: ManualClock;
  random: SeededRandom;
  engines: EngineStandIn[];
}

const STRATEGIES = {
  random: ({random}: Simulation): Strategy => ({
    noteReport: () => undefined,
    send: (_id, _deadlineMs, start) => start(random.nextInt(0, ENGINES - 1)),
  }),
  leastReported: ({random}: Simulation): Strategy => {
    const loads = new Map<number, number>();
    return {
      noteReport: (engine, load) =>
        loads.set(engine, load.runningRequests + load.queuedRequests),
      send: (_id, _deadlineMs, start) => {
        const least = Math.min(...loads.values());
        const best = [...loads.keys()].filter(id => loads.get(id) === least);
        return start(pickOne(random, best) ?? 0);
      },
    };
  },
  mimosatack: makeMimosatackStrategy,
} as const;

export type StrategyName = keyof typeof STRATEGIES;
export const STRATEGY_NAMES = Object.keys(STRATEGIES) as StrategyName[];

/** Runs one simulation; resolves with the outcomes after the warm-up. */
export async function simulate(
  options: SimulationOptions,
): Promise<SimulatedOutcome[]> {
  const simulation = makeSimulation(options.seed);
  const {clock, random} = simulation;
  const routers = Array.from({length: ROUTERS}, () =>
    STRATEGIES[options.strategy](simulation),
  );
  startReports(simulation, routers);
  const outcomes: SimulatedOutcome[] = [];
  const perMs = (ENGINES * MAX_RUNNING * options.utilization) / MEAN_SERVICE_MS;
  const startMs = clock.monotonicMs();
  const elapsedMs = () => clock.monotonicMs() - startMs;
  for (let count = 0; elapsedMs() < options.durationMs; count += 1) {
    await advance(clock, -Math.log(1 - random.nextFraction()) / perMs);
    const router = routers[random.nextInt(0, ROUTERS - 1)] as Strategy;
    const isCounted = elapsedMs() >= options.warmUpMs;
    const sent = sendRequest(
      simulation,
      router,
      `${count}`,
      options.deadlineMs,
    );
    void sent.then(outcome => {
      if (isCounted) outcomes.push(outcome);
    });
    await flushPromises();
  }
  await advance(clock, COOL_DOWN_MS);
  return outcomes;
}

async function sendRequest(
  {clock, random, engines}: Simulation,
  router: Strategy,
  requestId: string,
  deadlineMs: number,
): Promise<SimulatedOutcome> {
  const arrivedMs = clock.monotonicMs();
  const tokens = random.nextInt(MIN_TOKENS, MAX_TOKENS);
  let waitedMs = 0;
  const start = async (index: number) => {
    const engine = engines[index] as EngineStandIn;
    waitedMs = (await runOnEngine(engine, requestId, tokens)) - arrivedMs;
  };
  const status = await router.send(requestId, deadlineMs, start).then(
    () => 'answered' as const,
    () => 'refused' as const,
  );
  return {status, waitedMs, latencyMs: clock.monotonicMs() - arrivedMs};
}

function startReports({clock, engines}: Simulation, routers: Strategy[]): void {
  engines.forEach((engine, index) => {
    const {load} = engine.readState();
    routers.forEach(router => router.noteReport(index, load));
  });
  clock.setTimer(REPORT_INTERVAL_MS, () =>
    startReports({clock, engines} as Simulation, routers),
  );
}

function makeMimosatackStrategy({clock, random}: Simulation): Strategy {
  const router = new Router({
    clock,
    random,
    ownDomain: '',
    findDomain: () => undefined,
    countNodes: () => ROUTERS,
  });
  const options = {random, queueLimit: 1e6, queueLimitBytes: 1e9};
  const gate = new AdmissionGate(clock, options);
  const candidates = Array.from({length: ENGINES}, (_, index) => `${index}`);
  const target = {
    key: MODEL,
    findAvailability: (): ReplicaAvailability => ({status: 'serving'}),
    tryReserve: () => {
      const excluded = new Set<string>();
      const id = router.choose({candidates, excluded, requiresCapacity: true});
      if (id !== null) router.noteSent(id);
      return id;
    },
  };
  return {
    noteReport: (engine, load) => {
      router.noteReport(`${engine}`, load);
      gate.startQueued();
    },
    send: (requestId, deadlineMs, start) => {
      const nowMs = clock.monotonicMs();
      const request = {
        requestId,
        team: 't',
        teamLimits: {maxConcurrentRequests: 1e9, requestsPerSecond: 1e9},
        priority: 5,
        workClass: 'whole' as const,
        sizeBytes: 1,
        arrivedAtMs: nowMs,
        deadlineAtMs: nowMs + deadlineMs,
      };
      return gate.run(request, target, async ({reservation, recordServed}) => {
        await start(Number(reservation));
        recordServed();
        router.noteDone(reservation);
      });
    },
  };
}

/** Lets pending promise callbacks run before the clock advances. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function makeSimulation(seed: number): Simulation {
  const clock = new ManualClock();
  const engines = Array.from({length: ENGINES}, (_, index) => {
    const engine = new EngineStandIn(
      {
        backendServerId: `${index}`,
        maxRunning: MAX_RUNNING,
        firstTokenMs: FIRST_TOKEN_MS,
        tokenMs: TOKEN_MS,
        loadReportLagMs: REPORT_LAG_MS,
        prefixBlocks: 0,
      },
      clock,
    );
    engine.applyOrder({
      order: 'load',
      orderId: 'o',
      fencingNumber: 1,
      slotId: 's',
      model: MODEL,
      adapter: null,
      version: '1',
      memoryMib: 1,
    });
    return engine;
  });
  clock.advance(1_000);
  return {clock, random: new SeededRandom(seed), engines};
}

/** Advances timer by timer and runs promise callbacks in between. */
async function advance(clock: ManualClock, deltaMs: number): Promise<void> {
  const targetMs = clock.monotonicMs() + deltaMs;
  let nextMs = clock.nextTimerMs() ?? Infinity;
  while (nextMs <= targetMs) {
    clock.advance(nextMs - clock.monotonicMs());
    await flushPromises();
    nextMs = clock.nextTimerMs() ?? Infinity;
  }
  clock.advance(targetMs - clock.monotonicMs());
}

/** Resolves when the request ends, with the time at which it started. */
function runOnEngine(
  engine: EngineStandIn,
  requestId: string,
  maxTokens: number,
): Promise<number> {
  const submitted = engine.submit({
    header: {kind: 'text', model: MODEL, requestId},
    request: {model: MODEL, prompt: 'a b c', max_tokens: maxTokens},
    idempotencyKey: null,
    priority: 5,
  });
  return new Promise(resolve =>
    submitted.onProgress(() => {
      if (submitted.isEnded) resolve(submitted.observation.startedMs ?? 0);
    }),
  );
}
