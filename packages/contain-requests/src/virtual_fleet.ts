/**
 * Simulates nodes, batching servers, retrying callers and heartbeats in memory,
 * for tests of containment.
 */
import {ManualClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {type SeededRandom} from '@mimosatack/random';
import {CrashExchange} from './crash_exchange.js';
import {RequestContainment} from './request_containment.js';

export interface FleetScenario {
  random: SeededRandom;
  nodes: number;
  servers: number;
  /** Requests that a server runs concurrently. */
  batch: number;
  durationMs: number;
  /** The interval of requests that crash no server. */
  harmlessGapMs: number;
  /** The number of bodies that crash servers; each is resent at an interval. */
  crashingBodies: number;
  crashingGapMs: number;
}

export interface FleetOutcome {
  crashes: number;
  /** The most runs of one crashing body after `PROPAGATION_MS`. */
  maxLateRuns: number;
  harmless: number;
  servedHarmless: number;
  /** Bodies that crash no server and were contained at some time. */
  containedHarmless: number;
}

const STEP_MS = 10;
const HEARTBEAT_MS = 250;
const RUN_MS = 1_000;
const CRASH_AFTER_MS = 50;
const RESTART_MS = 2_500;
/** Servers that one request id may reach. */
const MAX_ATTEMPTS = 2;
/** How often a caller resends the same body. */
const CALLER_RETRIES = 1;
/** From the third crash until all nodes know of it. */
const PROPAGATION_MS = 1_000;

interface Node {
  incarnation: string;
  containment: RequestContainment;
  exchange: CrashExchange;
  logger: MemoryEventLogger;
}

interface Run {
  body: string;
  isCrashing: boolean;
  node: Node;
  endsAtMs: number;
  attemptsLeft: number;
  retriesLeft: number;
}

interface Server {
  name: number;
  incarnation: number;
  readyAtMs: number;
  runs: Run[];
}

export class VirtualFleet {
  private readonly clock = new ManualClock();
  private readonly nodes: Node[];
  private readonly servers: Server[];
  private readonly crashesOf = new Map<string, number[]>();
  private nextBody = 0;
  private crashes = 0;
  private readonly lateRuns = new Map<string, number>();
  private harmless = 0;
  private servedHarmless = 0;

  constructor(private readonly options: FleetScenario) {
    this.nodes = Array.from({length: options.nodes}, (_, at) => {
      const {clock} = this;
      const incarnation = `n${at}`;
      const logger = new MemoryEventLogger();
      const containment = new RequestContainment({
        ...{clock, logger, isProbingNode: () => false},
      });
      const exchange = new CrashExchange({clock, containment});
      return {incarnation, containment, exchange, logger};
    });
    this.servers = Array.from({length: options.servers}, (_, name) => ({
      ...{name, incarnation: 1, readyAtMs: 0, runs: []},
    }));
  }

  simulate(): FleetOutcome {
    const {durationMs} = this.options;
    for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) this.step(atMs);
    const {crashes, harmless, servedHarmless} = this;
    const maxLateRuns = Math.max(0, ...this.lateRuns.values());
    const contained = new Set(
      this.nodes.flatMap(({logger}) =>
        logger
          .fieldsOf('request-contained')
          .flatMap(({fingerprint}) =>
            typeof fingerprint === 'string' ? [fingerprint] : [],
          ),
      ),
    );
    const containedHarmless = [...contained].filter(
      body => !body.startsWith('bad'),
    ).length;
    return {crashes, maxLateRuns, harmless, servedHarmless, containedHarmless};
  }

  private step(atMs: number): void {
    const {harmlessGapMs, crashingGapMs, crashingBodies} = this.options;
    if (atMs % HEARTBEAT_MS === 0) this.exchangeHeartbeats();
    this.servers.forEach(server => this.advance(server, atMs));
    if (atMs % harmlessGapMs === 0) this.submitHarmless();
    if (atMs % crashingGapMs === 0) {
      Array.from({length: crashingBodies}, (_, at) =>
        this.submitCrashing(`bad${at}`),
      );
    }
    this.clock.advance(STEP_MS);
  }

  private exchangeHeartbeats(): void {
    const [holder] = this.nodes;
    if (!holder) return;
    this.nodes.slice(1).forEach(({exchange}) => {
      const report = exchange.makeReport(holder.incarnation);
      const reply = holder.exchange.handleReport(report);
      if (reply) exchange.handleReply(holder.incarnation, report, reply);
    });
  }

  private advance(server: Server, atMs: number): void {
    const crash = server.runs.find(
      ({isCrashing, endsAtMs}) => isCrashing && endsAtMs <= atMs,
    );
    if (crash) {
      this.crash(server, crash, atMs);
      return;
    }
    const done = server.runs.filter(({endsAtMs}) => endsAtMs <= atMs);
    server.runs = server.runs.filter(({endsAtMs}) => endsAtMs > atMs);
    done.forEach(({body, node}) => {
      this.servedHarmless += 1;
      node.containment.recordSuccess(body);
    });
  }

  private crash(server: Server, {body}: Run, atMs: number): void {
    const {name, incarnation, runs} = server;
    this.crashes += 1;
    this.crashesOf.set(body, [...(this.crashesOf.get(body) ?? []), atMs]);
    Object.assign(server, {
      ...{incarnation: incarnation + 1, readyAtMs: atMs + RESTART_MS, runs: []},
    });
    runs.forEach(run =>
      run.node.containment.recordConnectionLoss(
        run.body,
        `${name}.${incarnation}`,
      ),
    );
    runs.forEach(run => this.retry(run));
  }

  /** Retries at another server, then resends as the caller if harmless. */
  private retry(run: Run): void {
    const {attemptsLeft, retriesLeft, isCrashing} = run;
    if (attemptsLeft > 0) this.send({...run, attemptsLeft: attemptsLeft - 1});
    else if (retriesLeft > 0 && !isCrashing) {
      this.send({
        ...{...run, node: this.pickNode(), retriesLeft: retriesLeft - 1},
        attemptsLeft: MAX_ATTEMPTS - 1,
      });
    }
  }

  private submitHarmless(): void {
    this.nextBody += 1;
    this.harmless += 1;
    this.submit(`other${this.nextBody}`, false);
  }

  private submitCrashing(body: string): void {
    this.submit(body, true);
  }

  private submit(body: string, isCrashing: boolean): void {
    this.send({
      ...{body, isCrashing, node: this.pickNode(), endsAtMs: 0},
      ...{attemptsLeft: MAX_ATTEMPTS - 1, retriesLeft: CALLER_RETRIES},
    });
  }

  private send(run: Run): void {
    const nowMs = this.clock.monotonicMs();
    const {containment} = run.node;
    if (containment.isContained(run.body)) return;
    const free = this.servers.filter(
      ({readyAtMs, runs}) =>
        readyAtMs <= nowMs && runs.length < this.options.batch,
    );
    const {random} = this.options;
    const server = free[random.nextInt(0, Math.max(0, free.length - 1))];
    if (!server) return;
    const thirdCrashAtMs = this.crashesOf.get(run.body)?.[2] ?? Infinity;
    if (nowMs > thirdCrashAtMs + PROPAGATION_MS) {
      this.lateRuns.set(run.body, (this.lateRuns.get(run.body) ?? 0) + 1);
    }
    const runMs = run.isCrashing ? CRASH_AFTER_MS : RUN_MS;
    server.runs.push({...run, endsAtMs: nowMs + runMs});
  }

  private pickNode(): Node {
    const {random} = this.options;
    const node = this.nodes[random.nextInt(0, this.nodes.length - 1)];
    if (!node) throw new Error('The fleet has no nodes.');
    return node;
  }
}
