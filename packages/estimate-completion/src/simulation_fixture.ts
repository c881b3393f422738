/** Simulates hosts that choose servers, in steps of one millisecond. */
import {SeededRandom} from '@mimosatack/random';
import {
  CompletionEstimate,
  type EstimatedServer,
  type SentRequest,
} from './completion_estimate.js';
import {CompletionRanking} from './completion_ranking.js';

export interface SimulatedServer extends EstimatedServer {
  speed: number;
}

export interface Simulation {
  servers: readonly SimulatedServer[];
  hostDomains: readonly string[];
  /** Requests per second of a host. */
  findRate: (domain: string, nowMs: number) => number;
  findSlowdown: (server: SimulatedServer, nowMs: number) => number;
  durationMs: number;
  crossDomainCostMs?: number;
  seed: number;
  makePick?: MakePick;
}

export type Pick = (nowMs: number) => SimulatedServer | undefined;
export type MakePick = (
  estimate: CompletionEstimate,
  domain: string,
  random: SeededRandom,
) => Pick;

interface Run {
  host: SimulatedHost;
  sent: SentRequest;
  leftMs: number;
}

export interface FinishedRequest {
  domain: string;
  serverDomain: string;
  sentAtMs: number;
  tookMs: number;
}

export interface SimulationResult {
  finished: FinishedRequest[];
  /** The fraction of slot time in use, by server. */
  utilizations: number[];
}

const WORK_MS = 100;
/** Loads and responses are a round trip old between domains. */
const CROSS_DOMAIN_ROUND_TRIP_MS = 1.8;
/** Speeds are learned in this time, which is not counted. */
export const WARM_UP_MS = 3_000;

export function makeServers(
  speeds: readonly number[],
  findDomain: (index: number) => string = () => 'a',
): SimulatedServer[] {
  return speeds.map((speed, index) => ({
    ...{id: `s${index}`, startedAtMs: 1, slots: 8, speed},
    failureDomain: findDomain(index),
  }));
}

/** Requests per second that the servers complete at most, without slowdown. */
export function findCapacity(servers: readonly SimulatedServer[]): number {
  return servers.reduce(
    (sum, {slots, speed}) => sum + (slots * speed * 1_000) / WORK_MS,
    0,
  );
}

class SimulatedHost {
  readonly estimate = new CompletionEstimate();
  readonly pick: Pick;

  constructor(
    readonly domain: string,
    random: SeededRandom,
    {servers, makePick, crossDomainCostMs}: Simulation,
  ) {
    const ranking = new CompletionRanking(this.estimate, {
      ...{random, ownDomain: domain},
      crossDomainCostMs: crossDomainCostMs ?? 5,
    });
    this.pick =
      makePick?.(this.estimate, domain, random) ??
      (nowMs => ranking.pick(servers, nowMs));
  }
}

export function simulate(simulation: Simulation): SimulationResult {
  const {servers, hostDomains, findRate, findSlowdown, seed} = simulation;
  const random = new SeededRandom(seed);
  const hosts = hostDomains.map(
    domain => new SimulatedHost(domain, random, simulation),
  );
  const queues = servers.map((): Run[] => []);
  const usedMs = servers.map(() => 0);
  const finished: FinishedRequest[] = [];
  const send = (host: SimulatedHost, nowMs: number) => {
    const server = host.pick(nowMs);
    if (!server) return;
    const leftMs = WORK_MS * (0.6 + 0.8 * random.nextFraction());
    const sent = host.estimate.recordSent(server, nowMs);
    queues[servers.indexOf(server)]?.push({host, sent, leftMs});
  };
  const work = (server: SimulatedServer, index: number, nowMs: number) => {
    const queue = queues[index] ?? [];
    const running = queue.slice(0, server.slots);
    if (nowMs > WARM_UP_MS) usedMs[index]! += running.length / server.slots;
    const factor = findSlowdown(server, nowMs);
    running.forEach(run => (run.leftMs -= server.speed / factor));
    const done = running.filter(({leftMs}) => leftMs <= 0);
    queues[index] = queue.filter(({leftMs}) => leftMs > 0);
    const left = queues[index].length;
    const load = {
      running: Math.min(left, server.slots),
      waiting: Math.max(0, left - server.slots),
      slowdownPercent: factor * 100,
    };
    done.forEach(({host, sent}) => {
      const isLocal = host.domain === server.failureDomain;
      const tookMs =
        nowMs - sent.sentAtMs + (isLocal ? 0 : CROSS_DOMAIN_ROUND_TRIP_MS);
      host.estimate.recordEnd(sent, 'completed', sent.sentAtMs + tookMs);
      host.estimate.recordLoad(server, load, nowMs);
      finished.push({
        ...{domain: host.domain, serverDomain: server.failureDomain},
        ...{sentAtMs: sent.sentAtMs, tookMs},
      });
    });
  };
  Array.from({length: simulation.durationMs}, (_, nowMs) => {
    hosts
      .filter(
        ({domain}) => random.nextFraction() < findRate(domain, nowMs) / 1_000,
      )
      .forEach(host => send(host, nowMs));
    servers.forEach((server, index) => work(server, index, nowMs));
  });
  const countedMs = simulation.durationMs - WARM_UP_MS;
  return {
    finished: finished.filter(({sentAtMs}) => sentAtMs >= WARM_UP_MS),
    utilizations: usedMs.map(used => used / countedMs),
  };
}
