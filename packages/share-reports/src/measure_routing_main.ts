/**
 * Prints how long requests queue when routers choose backend servers by load
 * reports of several ages, compared with a random choice and the least reported
 * load. Runs in simulated time; half of the models are idle between bursts.
 */
import {SeededRandom} from '@mimosatack/random';

/**
 * How a router chooses a backend server:
 * - `random`: uniformly at random.
 * - `least`: the least reported load.
 * - `least-corrected`: the least load, corrected by the router's own requests
 *   since the report.
 * - `two-corrected`: the lower corrected load of two random choices.
 * - `two-own`: the fewer own requests of two random choices.
 * - `by-free-places`: at random, weighted by estimated free capacity.
 */
type Policy =
  | 'random'
  | 'least'
  | 'least-corrected'
  | 'two-corrected'
  | 'two-own'
  | 'by-free-places';

interface Setup {
  routers: number;
  runners: number;
  way: Policy;
  roundMs: number;
}

interface Arrival {
  atMs: number;
  router: number;
  model: number;
}

const REPLICAS = 4;
const CAPACITY = 24;
/** The mean service time, which an argument overrides. */
const SERVICE_MS = Number(process.argv[2] ?? 4_000);
const UTILIZATION = 0.85;
const RUN_MS = 10 * SERVICE_MS;
const BURST_EVERY_MS = 2 * SERVICE_MS;
const BURST_MS = SERVICE_MS / 4;
const STEP_MS = 10;
const MAX_SNAPSHOTS = 3;

/** The load of each backend server and each router's part of it at one time. */
interface Snapshot {
  loads: Int16Array;
  own: Int16Array;
}

class Simulation {
  private readonly random = new SeededRandom(11);
  private readonly loads: Int16Array;
  private readonly own: Int16Array;
  private readonly queues: Arrival[][];
  private readonly completions = new Map<
    number,
    {server: number; router: number}[]
  >();
  private readonly snapshots: Snapshot[] = [];
  private round = -1;
  readonly waitsMs: number[] = [];
  imbalanceSum = 0;
  private imbalanceCount = 0;

  constructor(private readonly setup: Setup) {
    const {routers, runners} = setup;
    this.loads = new Int16Array(runners);
    this.own = new Int16Array(runners * routers);
    this.queues = Array.from({length: runners}, () => []);
  }

  run(): void {
    const models = this.setup.runners / REPLICAS;
    const steps = RUN_MS / STEP_MS;
    Array.from({length: steps}, (_, step) => step * STEP_MS).forEach(nowMs => {
      this.takeSnapshot(nowMs);
      this.finish(nowMs);
      Array.from({length: models}, (_, model) => model).forEach(model =>
        this.arrive(model, nowMs),
      );
      if (nowMs % 100 === 0) this.recordImbalance();
    });
  }

  get meanImbalance(): number {
    return this.imbalanceSum / this.imbalanceCount;
  }

  /** Even models have a steady load, odd ones are idle between bursts. */
  private arrive(model: number, nowMs: number): void {
    const perMs = (UTILIZATION * REPLICAS * CAPACITY) / SERVICE_MS;
    const sinceBurstMs = (nowMs + model * 97) % BURST_EVERY_MS;
    const burst = sinceBurstMs < BURST_MS ? (perMs * SERVICE_MS) / BURST_MS : 0;
    const expected = (model % 2 === 0 ? perMs : burst) * STEP_MS;
    const count =
      Math.floor(expected) +
      (this.random.nextFraction() < expected % 1 ? 1 : 0);
    Array.from({length: count}).forEach(() => {
      const router = this.random.nextInt(0, this.setup.routers - 1);
      this.send({atMs: nowMs, router, model}, nowMs);
    });
  }

  private send(arrival: Arrival, nowMs: number): void {
    const server = this.choose(arrival, nowMs);
    this.loads[server]!++;
    this.own[this.ownIndex(arrival.router, server)]!++;
    if (this.loads[server]! > CAPACITY) this.queues[server]!.push(arrival);
    else this.begin(arrival, server, nowMs);
  }

  private choose({router, model}: Arrival, nowMs: number): number {
    const pool = Array.from({length: REPLICAS}, (_, r) => model * REPLICAS + r);
    const {way} = this.setup;
    const first = this.random.nextInt(0, REPLICAS - 1);
    if (way === 'random') return pool[first]!;
    if (way === 'by-free-places') return this.chooseByFree(pool, router, nowMs);
    const isPair = way === 'two-corrected' || way === 'two-own';
    const second = (first + this.random.nextInt(1, REPLICAS - 1)) % REPLICAS;
    const candidates = isPair ? [pool[first]!, pool[second]!] : pool;
    const scored = candidates.map(server => ({
      server,
      score: this.score(router, server, nowMs),
    }));
    return scored.reduce((best, each) =>
      each.score < best.score ? each : best,
    ).server;
  }

  private chooseByFree(pool: number[], router: number, nowMs: number): number {
    const freeCapacities = pool.map(server =>
      Math.max(1, CAPACITY - this.score(router, server, nowMs)),
    );
    const total = freeCapacities.reduce((sum, each) => sum + each, 0);
    let remaining = this.random.nextFraction() * total;
    const chosen = freeCapacities.findIndex(each => (remaining -= each) < 0);
    return pool[Math.max(0, chosen)]!;
  }

  private score(router: number, server: number, nowMs: number): number {
    const index = this.ownIndex(router, server);
    const own = this.own[index]!;
    if (this.setup.way === 'two-own') return own;
    const snapshot = this.findSnapshot(router, server, nowMs);
    const reported = snapshot?.loads[server] ?? 0;
    if (this.setup.way === 'least') return reported;
    return reported - (snapshot?.own[index] ?? 0) + own;
  }

  /** The latency of a report depends on the router and the backend server. */
  private findSnapshot(router: number, server: number, nowMs: number) {
    const {roundMs} = this.setup;
    const fraction = 0.1 + 0.9 * (((router * 31 + server * 17) % 100) / 100);
    const round = Math.floor((nowMs - fraction * roundMs) / roundMs);
    return this.snapshots[this.snapshots.length - 1 - (this.round - round)];
  }

  private takeSnapshot(nowMs: number): void {
    const round = Math.floor(nowMs / this.setup.roundMs);
    if (round === this.round) return;
    this.round = round;
    this.snapshots.push({loads: this.loads.slice(), own: this.own.slice()});
    if (this.snapshots.length > MAX_SNAPSHOTS) this.snapshots.shift();
  }

  private begin(arrival: Arrival, server: number, nowMs: number): void {
    this.waitsMs.push(nowMs - arrival.atMs);
    const serviceMs = -SERVICE_MS * Math.log(1 - this.random.nextFraction());
    const endMs =
      nowMs + STEP_MS * Math.max(1, Math.round(serviceMs / STEP_MS));
    const {router} = arrival;
    this.completions.set(endMs, [
      ...(this.completions.get(endMs) ?? []),
      {server, router},
    ]);
  }

  private finish(nowMs: number): void {
    this.completions.get(nowMs)?.forEach(({server, router}) => {
      this.loads[server]!--;
      this.own[this.ownIndex(router, server)]!--;
      const next = this.queues[server]!.shift();
      if (next) this.begin(next, server, nowMs);
    });
    this.completions.delete(nowMs);
  }

  /** How far the highest load of a model's replicas is above their mean. */
  private recordImbalance(): void {
    const models = this.loads.length / REPLICAS;
    Array.from({length: models}, (_, model) =>
      this.loads.slice(model * REPLICAS, (model + 1) * REPLICAS),
    ).forEach(loads => {
      const mean = loads.reduce((sum, load) => sum + load, 0) / REPLICAS;
      this.imbalanceSum += (Math.max(...loads) - mean) / CAPACITY;
      this.imbalanceCount++;
    });
  }

  private ownIndex(router: number, server: number): number {
    return router * this.setup.runners + server;
  }
}

function measure(setup: Setup) {
  const simulation = new Simulation(setup);
  simulation.run();
  const sorted = simulation.waitsMs.toSorted((a, b) => a - b);
  const percentile = (fraction: number) =>
    sorted[Math.floor(sorted.length * fraction)]!;
  const waiting = sorted.filter(waitMs => waitMs > 0).length;
  return {
    ...setup,
    requests: sorted.length,
    waitedPercent: ((100 * waiting) / sorted.length).toFixed(1),
    waitP95Ms: percentile(0.95),
    waitP99Ms: percentile(0.99),
    imbalancePercent: (100 * simulation.meanImbalance).toFixed(1),
  };
}

const SIZES = [
  {routers: 8, runners: 16},
  {routers: 370, runners: 668},
];
const CASES: readonly Pick<Setup, 'way' | 'roundMs'>[] = [
  {way: 'random', roundMs: 1_000},
  {way: 'two-own', roundMs: 1_000},
  ...[200, 600, 2_000, 5_000, 10_000].flatMap(roundMs =>
    (
      ['least', 'least-corrected', 'two-corrected', 'by-free-places'] as const
    ).map(way => ({
      way,
      roundMs,
    })),
  ),
];

SIZES.forEach(size =>
  CASES.forEach(each =>
    console.log(JSON.stringify(measure({...size, ...each}))),
  ),
);
