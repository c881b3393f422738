/**
 * Nodes and servers in memory, for tests of what requests that crash servers
 * cost: batches that are cut together, callers that come again, knowledge that
 * travels with heartbeats.
 */
import {ManualClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {type SeededRandom} from '@mimosatack/random';
import {CrashExchange} from './crash_exchange.js';
import {RequestContainment} from './request_containment.js';

/** What is played. */
export interface FleetPlay {
  random: SeededRandom;
  nodes: number;
  servers: number;
  /** Requests that a server runs at once. */
  batch: number;
  durationMs: number;
  /** Requests that crash nobody, between two of them. */
  otherGapMs: number;
  /** Bodies that crash servers; each comes again and again. */
  badBodies: number;
  badGapMs: number;
}

/** What came of it. */
export interface FleetOutcome {
  crashes: number;
  /** Of any bad body, the most runs begun a second after its third crash. */
  mostLateRuns: number;
  others: number;
  servedOthers: number;
  /** Bodies that crash nobody and were contained at some time. */
  containedOthers: number;
}

const STEP_MS = 10;
const HEARTBEAT_MS = 250;
const RUN_MS = 1_000;
const CRASH_AFTER_MS = 50;
const BACK_AFTER_MS = 2_500;
/** Servers that one id may be sent to. */
const MAX_ATTEMPTS = 2;
/** How often a caller comes again with the same body. */
const CALLER_RETRIES = 1;
/** What is known is known to all by then. */
const KNOWN_AFTER_MS = 1_000;

interface Node {
  incarnation: string;
  containment: RequestContainment;
  exchange: CrashExchange;
  logger: MemoryEventLogger;
}

interface Run {
  body: string;
  isBad: boolean;
  node: Node;
  endsAtMs: number;
  attemptsLeft: number;
  retriesLeft: number;
}

interface Server {
  name: number;
  life: number;
  upAtMs: number;
  runs: Run[];
}

/** Plays until the time is over. */
export class VirtualFleet {
  private readonly clock = new ManualClock();
  private readonly nodes: Node[];
  private readonly servers: Server[];
  private readonly crashesOf = new Map<string, number[]>();
  private nextBody = 0;
  private crashes = 0;
  private readonly lateRuns = new Map<string, number>();
  private others = 0;
  private servedOthers = 0;

  constructor(private readonly options: FleetPlay) {
    this.nodes = Array.from({length: options.nodes}, (_, at) => {
      const {clock} = this;
      const incarnation = `n${at}`;
      const logger = new MemoryEventLogger();
      const containment = new RequestContainment({
        ...{clock, logger, isTrier: () => false},
      });
      const exchange = new CrashExchange({clock, containment});
      return {incarnation, containment, exchange, logger};
    });
    this.servers = Array.from({length: options.servers}, (_, name) => ({
      ...{name, life: 1, upAtMs: 0, runs: []},
    }));
  }

  play(): FleetOutcome {
    const {durationMs} = this.options;
    for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) this.step(atMs);
    const {crashes, others, servedOthers} = this;
    const mostLateRuns = Math.max(0, ...this.lateRuns.values());
    const contained = new Set(
      this.nodes.flatMap(({logger}) =>
        logger
          .fieldsOf('request-contained')
          .flatMap(({fingerprint}) =>
            typeof fingerprint === 'string' ? [fingerprint] : [],
          ),
      ),
    );
    const containedOthers = [...contained].filter(
      body => !body.startsWith('bad'),
    ).length;
    return {crashes, mostLateRuns, others, servedOthers, containedOthers};
  }

  private step(atMs: number): void {
    const {otherGapMs, badGapMs, badBodies} = this.options;
    if (atMs % HEARTBEAT_MS === 0) this.greet();
    this.servers.forEach(server => this.advance(server, atMs));
    if (atMs % otherGapMs === 0) this.arriveOther();
    if (atMs % badGapMs === 0) {
      Array.from({length: badBodies}, (_, at) => this.arriveBad(`bad${at}`));
    }
    this.clock.advance(STEP_MS);
  }

  private greet(): void {
    const [holder] = this.nodes;
    if (!holder) return;
    this.nodes.slice(1).forEach(({exchange}) => {
      const report = exchange.makeReport(holder.incarnation);
      const reply = holder.exchange.answer(report);
      if (reply) exchange.takeReply(holder.incarnation, report, reply);
    });
  }

  private advance(server: Server, atMs: number): void {
    const crash = server.runs.find(
      ({isBad, endsAtMs}) => isBad && endsAtMs <= atMs,
    );
    if (crash) {
      this.crash(server, crash, atMs);
      return;
    }
    const done = server.runs.filter(({endsAtMs}) => endsAtMs <= atMs);
    server.runs = server.runs.filter(({endsAtMs}) => endsAtMs > atMs);
    done.forEach(({body, node}) => {
      this.servedOthers += 1;
      node.containment.noteServed(body);
    });
  }

  private crash(server: Server, {body}: Run, atMs: number): void {
    const {name, life, runs} = server;
    this.crashes += 1;
    this.crashesOf.set(body, [...(this.crashesOf.get(body) ?? []), atMs]);
    Object.assign(server, {
      ...{life: life + 1, upAtMs: atMs + BACK_AFTER_MS, runs: []},
    });
    runs.forEach(run =>
      run.node.containment.noteCut(run.body, `${name}.${life}`),
    );
    runs.forEach(run => this.goOn(run));
  }

  /** Another server, or the caller once more; a bad one comes by itself. */
  private goOn(run: Run): void {
    const {attemptsLeft, retriesLeft, isBad} = run;
    if (attemptsLeft > 0) this.send({...run, attemptsLeft: attemptsLeft - 1});
    else if (retriesLeft > 0 && !isBad) {
      this.send({
        ...{...run, node: this.pickNode(), retriesLeft: retriesLeft - 1},
        attemptsLeft: MAX_ATTEMPTS - 1,
      });
    }
  }

  private arriveOther(): void {
    this.nextBody += 1;
    this.others += 1;
    this.arrive(`other${this.nextBody}`, false);
  }

  private arriveBad(body: string): void {
    this.arrive(body, true);
  }

  private arrive(body: string, isBad: boolean): void {
    this.send({
      ...{body, isBad, node: this.pickNode(), endsAtMs: 0},
      ...{attemptsLeft: MAX_ATTEMPTS - 1, retriesLeft: CALLER_RETRIES},
    });
  }

  private send(run: Run): void {
    const nowMs = this.clock.monotonicMs();
    const {containment} = run.node;
    if (containment.isContained(run.body)) return;
    const free = this.servers.filter(
      ({upAtMs, runs}) => upAtMs <= nowMs && runs.length < this.options.batch,
    );
    const {random} = this.options;
    const server = free[random.nextInt(0, Math.max(0, free.length - 1))];
    if (!server) return;
    const thirdMs = this.crashesOf.get(run.body)?.[2] ?? Infinity;
    if (nowMs > thirdMs + KNOWN_AFTER_MS) {
      this.lateRuns.set(run.body, (this.lateRuns.get(run.body) ?? 0) + 1);
    }
    const forMs = run.isBad ? CRASH_AFTER_MS : RUN_MS;
    server.runs.push({...run, endsAtMs: nowMs + forMs});
  }

  private pickNode(): Node {
    const {random} = this.options;
    const node = this.nodes[random.nextInt(0, this.nodes.length - 1)];
    if (!node) throw new Error('a fleet has nodes');
    return node;
  }
}
