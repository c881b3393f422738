/**
 * Simulates nodes, batching servers, retrying callers and heartbeats in memory,
 * for tests of containment.
 */
import {ManualClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {type Suspect, isPartSuspect, makePartSuspect} from '@mimosatack/types';
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
  /** The number of prompt parts that crash servers, each under bodies that are never the same. */
  crashingParts?: number;
  /** When the first request that crashes servers is sent. */
  crashingFromMs?: number;
}

export interface FleetOutcome {
  crashes: number;
  /** The most runs of one crashing body after `PROPAGATION_MS`. */
  maxLateRuns: number;
  /** The most runs with one crashing part after its fifth crash and `PROPAGATION_MS`. */
  maxLatePartRuns: number;
  harmless: number;
  servedHarmless: number;
  /** Bodies that crash no server and were contained at some time. */
  containedHarmless: number;
  /** Parts that crash no server and were contained at some time. */
  containedHarmlessParts: string[];
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
/** The first part of all prompts. */
const COMMON_PART = makePartSuspect('5a');
/** The number of other parts that harmless requests have. */
const PARTS = 200;
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
  /** The parts of its prompt that others share. */
  parts: readonly Suspect[];
  /** What crashes the server: the body, or a part of the prompt. */
  cause: Suspect | null;
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
  private readonly crashesOf = new Map<Suspect, number[]>();
  private nextBody = 0;
  private crashes = 0;
  private readonly lateRuns = new Map<string, number>();
  private readonly latePartRuns = new Map<Suspect, number>();
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
    const harmlessSuspects = [...contained].filter(
      suspect => !/^(part:)?bad/.test(suspect),
    );
    const maxLatePartRuns = Math.max(0, ...this.latePartRuns.values());
    return {
      ...{crashes, maxLateRuns, maxLatePartRuns, harmless, servedHarmless},
      containedHarmless: harmlessSuspects.filter(
        suspect => !isPartSuspect(suspect),
      ).length,
      containedHarmlessParts: harmlessSuspects.filter(isPartSuspect),
    };
  }

  private step(atMs: number): void {
    const {harmlessGapMs, crashingGapMs, crashingBodies} = this.options;
    const {crashingParts = 0, crashingFromMs = 0} = this.options;
    if (atMs % HEARTBEAT_MS === 0) this.exchangeHeartbeats();
    this.servers.forEach(server => this.advance(server, atMs));
    if (atMs % harmlessGapMs === 0) this.submitHarmless();
    if (atMs >= crashingFromMs && atMs % crashingGapMs === 0) {
      Array.from({length: crashingBodies}, (_, at) =>
        this.submitCrashing(`bad${at}`),
      );
      Array.from({length: crashingParts}, (_, at) =>
        this.submitWithPart(makePartSuspect(`bad${at}`)),
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
      ({cause, endsAtMs}) => cause !== null && endsAtMs <= atMs,
    );
    if (crash) {
      this.crash(server, crash, atMs);
      return;
    }
    const done = server.runs.filter(({endsAtMs}) => endsAtMs <= atMs);
    server.runs = server.runs.filter(({endsAtMs}) => endsAtMs > atMs);
    done.forEach(({body, parts, node}) => {
      this.servedHarmless += 1;
      node.containment.recordServedParts(parts);
      node.containment.recordSuccess([body, ...parts]);
    });
  }

  private crash(server: Server, {body, cause}: Run, atMs: number): void {
    const {name, incarnation, runs} = server;
    this.crashes += 1;
    const culprit = cause ?? body;
    const crashes = this.crashesOf.get(culprit) ?? [];
    this.crashesOf.set(culprit, [...crashes, atMs]);
    Object.assign(server, {
      ...{incarnation: incarnation + 1, readyAtMs: atMs + RESTART_MS, runs: []},
    });
    runs.forEach(run =>
      run.node.containment.recordConnectionLoss(
        {fingerprint: run.body, parts: run.parts},
        `${name}.${incarnation}`,
      ),
    );
    runs.forEach(run => this.retry(run));
  }

  /** Retries at another server, then resends as the caller if harmless. */
  private retry(run: Run): void {
    const {attemptsLeft, retriesLeft, cause} = run;
    if (attemptsLeft > 0) this.send({...run, attemptsLeft: attemptsLeft - 1});
    else if (retriesLeft > 0 && cause === null) {
      this.send({
        ...{...run, node: this.pickNode(), retriesLeft: retriesLeft - 1},
        attemptsLeft: MAX_ATTEMPTS - 1,
      });
    }
  }

  private submitHarmless(): void {
    this.nextBody += 1;
    this.harmless += 1;
    this.submit(`other${this.nextBody}`, null, [this.pickPart()]);
  }

  private submitCrashing(body: string): void {
    this.submit(body, body, [this.pickPart()]);
  }

  /** Sends a request that no other one is like, with the part behind others. */
  private submitWithPart(part: Suspect): void {
    this.nextBody += 1;
    this.submit(`bad-part-${this.nextBody}`, part, [this.pickPart(), part]);
  }

  /** Few parts are in many prompts, and many in few. */
  private pickPart(): Suspect {
    const rank = PARTS ** this.options.random.nextFraction();
    return makePartSuspect(`c${Math.floor(rank)}`);
  }

  private submit(
    body: string,
    cause: Suspect | null,
    parts: readonly Suspect[],
  ): void {
    this.send({
      ...{body, cause, parts: [COMMON_PART, ...parts]},
      ...{node: this.pickNode(), endsAtMs: 0},
      ...{attemptsLeft: MAX_ATTEMPTS - 1, retriesLeft: CALLER_RETRIES},
    });
  }

  private send(run: Run): void {
    const nowMs = this.clock.monotonicMs();
    const {containment} = run.node;
    const suspects = [run.body, ...run.parts];
    if (suspects.some(suspect => containment.isContained(suspect))) return;
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
    this.countLatePartRun(run, nowMs);
    const runMs = run.cause === null ? RUN_MS : CRASH_AFTER_MS;
    server.runs.push({...run, endsAtMs: nowMs + runMs});
  }

  private countLatePartRun({cause}: Run, nowMs: number): void {
    if (cause === null || !isPartSuspect(cause)) return;
    const fifthCrashAtMs = this.crashesOf.get(cause)?.[4] ?? Infinity;
    if (nowMs <= fifthCrashAtMs + PROPAGATION_MS) return;
    this.latePartRuns.set(cause, (this.latePartRuns.get(cause) ?? 0) + 1);
  }

  private pickNode(): Node {
    const {random} = this.options;
    const node = this.nodes[random.nextInt(0, this.nodes.length - 1)];
    if (!node) throw new Error('The fleet has no nodes.');
    return node;
  }
}
