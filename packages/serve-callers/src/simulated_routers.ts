/** Routers before engine stand-ins in simulated time, for measurements. */
import {AdmissionGate, type Outlook} from '@mimosatack/admit-requests';
import {ManualClock} from '@mimosatack/clock';
import {SeededRandom, pickOne} from '@mimosatack/random';
import {Router} from '@mimosatack/route-requests';
import {EngineStandIn} from '@mimosatack/stand-ins';
import {type LoadReport} from '@mimosatack/types';

export const ROUTERS = 8;
export const ENGINES = 12;
export const PLACES = 8;
const FIRST_TOKEN_MS = 20;
const TOKEN_MS = 5;
const MIN_TOKENS = 4;
const MAX_TOKENS = 60;
const REPORT_LAG_MS = 500;
const REPORT_INTERVAL_MS = 500;
const MODEL = 'm';
const SETTLE_MS = 120_000;

const MEAN_SERVICE_MS =
  FIRST_TOKEN_MS + TOKEN_MS * ((MIN_TOKENS + MAX_TOKENS) / 2 - 1);

/** What became of one request; times since it arrived. */
export interface SimulatedOutcome {
  status: 'answered' | 'refused';
  /** Until an engine began it. */
  waitedMs: number;
  /** Until its final answer. */
  tookMs: number;
}

/** What is simulated. */
export interface SimulationOptions {
  strategy: StrategyName;
  /** Requests as a share of what all engines can do. */
  utilization: number;
  seed: number;
  /** How long requests arrive; those that arrive before the second don't count. */
  durationMs: number;
  warmUpMs: number;
  deadlineMs: number;
}

/** One way to choose, as one router does it. */
interface Strategy {
  noteReport(engine: number, load: LoadReport): void;
  /**
   * Calls `start` with the engine once the request may be sent to it, or
   * rejects.
   */
  send(
    requestId: string,
    deadlineMs: number,
    start: (engine: number) => Promise<void>,
  ): Promise<void>;
}

interface World {
  clock: ManualClock;
  random: SeededRandom;
  engines: EngineStandIn[];
}

const STRATEGIES = {
  random: ({random}: World): Strategy => ({
    noteReport: () => undefined,
    send: (_id, _deadlineMs, start) => start(random.nextInt(0, ENGINES - 1)),
  }),
  leastReported: ({random}: World): Strategy => {
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
  mimosatack: makeOwn,
} as const;

export type StrategyName = keyof typeof STRATEGIES;
export const STRATEGY_NAMES = Object.keys(STRATEGIES) as StrategyName[];

/** Runs one simulation and tells the outcomes after the warm-up. */
export async function simulate(
  options: SimulationOptions,
): Promise<SimulatedOutcome[]> {
  const world = makeWorld(options.seed);
  const {clock, random} = world;
  const routers = Array.from({length: ROUTERS}, () =>
    STRATEGIES[options.strategy](world),
  );
  startReports(world, routers);
  const outcomes: SimulatedOutcome[] = [];
  const perMs = (ENGINES * PLACES * options.utilization) / MEAN_SERVICE_MS;
  const startMs = clock.monotonicMs();
  const elapsedMs = () => clock.monotonicMs() - startMs;
  for (let count = 0; elapsedMs() < options.durationMs; count += 1) {
    await advance(clock, -Math.log(1 - random.nextFraction()) / perMs);
    const router = routers[random.nextInt(0, ROUTERS - 1)] as Strategy;
    const isCounted = elapsedMs() >= options.warmUpMs;
    const sent = sendOne(world, router, `${count}`, options.deadlineMs);
    void sent.then(outcome => {
      if (isCounted) outcomes.push(outcome);
    });
    await settle();
  }
  await advance(clock, SETTLE_MS);
  return outcomes;
}

async function sendOne(
  {clock, random, engines}: World,
  router: Strategy,
  requestId: string,
  deadlineMs: number,
): Promise<SimulatedOutcome> {
  const arrivedMs = clock.monotonicMs();
  const tokens = random.nextInt(MIN_TOKENS, MAX_TOKENS);
  let waitedMs = 0;
  const start = async (index: number) => {
    const engine = engines[index] as EngineStandIn;
    waitedMs = (await run(engine, requestId, tokens)) - arrivedMs;
  };
  const status = await router.send(requestId, deadlineMs, start).then(
    () => 'answered' as const,
    () => 'refused' as const,
  );
  return {status, waitedMs, tookMs: clock.monotonicMs() - arrivedMs};
}

function startReports({clock, engines}: World, routers: Strategy[]): void {
  engines.forEach((engine, index) => {
    const {load} = engine.readState();
    routers.forEach(router => router.noteReport(index, load));
  });
  clock.setTimer(REPORT_INTERVAL_MS, () =>
    startReports({clock, engines} as World, routers),
  );
}

function makeOwn({clock, random}: World): Strategy {
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
    findOutlook: (): Outlook => ({status: 'serving'}),
    takePlace: () => {
      const excluded = new Set<string>();
      const id = router.choose({candidates, excluded, needsRoom: true});
      if (id !== null) router.noteSent(id);
      return id;
    },
  };
  return {
    noteReport: (engine, load) => {
      router.noteReport(`${engine}`, load);
      gate.pump();
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
      return gate.run(request, target, async ({place, noteServed}) => {
        await start(Number(place));
        noteServed();
        router.noteDone(place);
      });
    },
  };
}

/** Lets the promises of what has happened run before time goes on. */
function settle(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function makeWorld(seed: number): World {
  const clock = new ManualClock();
  const engines = Array.from({length: ENGINES}, (_, index) => {
    const engine = new EngineStandIn(
      {
        backendServerId: `${index}`,
        maxRunning: PLACES,
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

/** Moves time on timer by timer, so that promises run in between. */
async function advance(clock: ManualClock, deltaMs: number): Promise<void> {
  const targetMs = clock.monotonicMs() + deltaMs;
  let nextMs = clock.nextTimerMs() ?? Infinity;
  while (nextMs <= targetMs) {
    clock.advance(nextMs - clock.monotonicMs());
    await settle();
    nextMs = clock.nextTimerMs() ?? Infinity;
  }
  clock.advance(targetMs - clock.monotonicMs());
}

/** Resolves at the end with the time at which the engine began. */
function run(
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
