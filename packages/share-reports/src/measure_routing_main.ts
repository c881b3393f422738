/**
 * Prints how long requests wait for a place when routers choose by reports of
 * several ages, against choosing at random and by the least reported load.
 * Simulated time; every model has four runners, and half of the time all
 * routers get a burst for models that were idle.
 */
import {SeededRandom} from '@mimosatack/random';

/**
 * How a router chooses: at random; the least loaded of all by report, or with
 * its own requests since; the better of two by that, or by its own requests
 * alone; at random in proportion to the free places it believes in.
 */
type Way =
  | 'random'
  | 'least'
  | 'least-corrected'
  | 'two-corrected'
  | 'two-own'
  | 'by-free-places';

interface Setup {
  routers: number;
  runners: number;
  way: Way;
  roundMs: number;
}

interface Arrival {
  atMs: number;
  router: number;
  model: number;
}

const REPLICAS = 4;
const PLACES = 24;
/** The mean time of a request; an argument gives another. */
const SERVICE_MS = Number(process.argv[2] ?? 4_000);
const UTILIZATION = 0.85;
const RUN_MS = 10 * SERVICE_MS;
const BURST_EVERY_MS = 2 * SERVICE_MS;
const BURST_MS = SERVICE_MS / 4;
const STEP_MS = 10;
const HISTORY = 3;

/** What all runners had, and what each router had on them, at one time. */
interface Snapshot {
  loads: Int16Array;
  own: Int16Array;
}

/** One run with one way of choosing. */
class Simulation {
  private readonly random = new SeededRandom(11);
  private readonly loads: Int16Array;
  private readonly own: Int16Array;
  private readonly queues: Arrival[][];
  private readonly ends = new Map<number, {runner: number; router: number}[]>();
  private readonly snapshots: Snapshot[] = [];
  private round = -1;
  readonly waitsMs: number[] = [];
  spreadSum = 0;
  private spreadCount = 0;

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
      if (nowMs % 100 === 0) this.noteSpread();
    });
  }

  get meanSpread(): number {
    return this.spreadSum / this.spreadCount;
  }

  /** Even models are steady; each odd one is idle between its bursts. */
  private arrive(model: number, nowMs: number): void {
    const perMs = (UTILIZATION * REPLICAS * PLACES) / SERVICE_MS;
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
    const runner = this.choose(arrival, nowMs);
    this.loads[runner]!++;
    this.own[this.ownIndex(arrival.router, runner)]!++;
    if (this.loads[runner]! > PLACES) this.queues[runner]!.push(arrival);
    else this.begin(arrival, runner, nowMs);
  }

  private choose({router, model}: Arrival, nowMs: number): number {
    const all = Array.from({length: REPLICAS}, (_, r) => model * REPLICAS + r);
    const {way} = this.setup;
    const first = this.random.nextInt(0, REPLICAS - 1);
    if (way === 'random') return all[first]!;
    if (way === 'by-free-places') return this.chooseByFree(all, router, nowMs);
    const isPair = way === 'two-corrected' || way === 'two-own';
    const second = (first + this.random.nextInt(1, REPLICAS - 1)) % REPLICAS;
    const looked = isPair ? [all[first]!, all[second]!] : all;
    const scored = looked.map(runner => ({
      runner,
      score: this.score(router, runner, nowMs),
    }));
    return scored.reduce((best, each) =>
      each.score < best.score ? each : best,
    ).runner;
  }

  private chooseByFree(all: number[], router: number, nowMs: number): number {
    const free = all.map(runner =>
      Math.max(1, PLACES - this.score(router, runner, nowMs)),
    );
    const total = free.reduce((sum, each) => sum + each, 0);
    let left = this.random.nextFraction() * total;
    const chosen = free.findIndex(each => (left -= each) < 0);
    return all[Math.max(0, chosen)]!;
  }

  private score(router: number, runner: number, nowMs: number): number {
    const index = this.ownIndex(router, runner);
    const own = this.own[index]!;
    if (this.setup.way === 'two-own') return own;
    const snapshot = this.findSnapshot(router, runner, nowMs);
    const reported = snapshot?.loads[runner] ?? 0;
    if (this.setup.way === 'least') return reported;
    return reported - (snapshot?.own[index] ?? 0) + own;
  }

  /** A report takes a part of the round that depends on both ends. */
  private findSnapshot(router: number, runner: number, nowMs: number) {
    const {roundMs} = this.setup;
    const share = 0.1 + 0.9 * (((router * 31 + runner * 17) % 100) / 100);
    const round = Math.floor((nowMs - share * roundMs) / roundMs);
    return this.snapshots[this.snapshots.length - 1 - (this.round - round)];
  }

  private takeSnapshot(nowMs: number): void {
    const round = Math.floor(nowMs / this.setup.roundMs);
    if (round === this.round) return;
    this.round = round;
    this.snapshots.push({loads: this.loads.slice(), own: this.own.slice()});
    if (this.snapshots.length > HISTORY) this.snapshots.shift();
  }

  private begin(arrival: Arrival, runner: number, nowMs: number): void {
    this.waitsMs.push(nowMs - arrival.atMs);
    const lengthMs = -SERVICE_MS * Math.log(1 - this.random.nextFraction());
    const endMs = nowMs + STEP_MS * Math.max(1, Math.round(lengthMs / STEP_MS));
    const {router} = arrival;
    this.ends.set(endMs, [...(this.ends.get(endMs) ?? []), {runner, router}]);
  }

  private finish(nowMs: number): void {
    this.ends.get(nowMs)?.forEach(({runner, router}) => {
      this.loads[runner]!--;
      this.own[this.ownIndex(router, runner)]!--;
      const next = this.queues[runner]!.shift();
      if (next) this.begin(next, runner, nowMs);
    });
    this.ends.delete(nowMs);
  }

  /** How far the fullest runner of a model is above the model's mean. */
  private noteSpread(): void {
    const models = this.loads.length / REPLICAS;
    Array.from({length: models}, (_, model) =>
      this.loads.slice(model * REPLICAS, (model + 1) * REPLICAS),
    ).forEach(loads => {
      const mean = loads.reduce((sum, load) => sum + load, 0) / REPLICAS;
      this.spreadSum += (Math.max(...loads) - mean) / PLACES;
      this.spreadCount++;
    });
  }

  private ownIndex(router: number, runner: number): number {
    return router * this.setup.runners + runner;
  }
}

function measure(setup: Setup) {
  const simulation = new Simulation(setup);
  simulation.run();
  const sorted = simulation.waitsMs.toSorted((a, b) => a - b);
  const at = (share: number) => sorted[Math.floor(sorted.length * share)]!;
  const waiting = sorted.filter(waitMs => waitMs > 0).length;
  return {
    ...setup,
    requests: sorted.length,
    waitedPercent: ((100 * waiting) / sorted.length).toFixed(1),
    waitP95Ms: at(0.95),
    waitP99Ms: at(0.99),
    imbalancePercent: (100 * simulation.meanSpread).toFixed(1),
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
