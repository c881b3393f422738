/** Other rules for leaving a failure domain, for the comparison. */
import {type MakePick, type SimulatedServer} from './simulation_fixture.js';

type Servers = readonly SimulatedServer[];

function isIn(domain: string) {
  return ({failureDomain}: SimulatedServer) => failureDomain === domain;
}

/** Own domain first: leaves it while the emptier of two own servers is over a threshold. */
export function fillOwnDomainFirst(
  servers: Servers,
  threshold: number,
): MakePick {
  return (estimate, domain, random) => nowMs => {
    const pickOf = (from: Servers) => {
      const drawn = [0, 1].map(() => from[random.nextInt(0, from.length - 1)]!);
      const [one, other] = drawn.map(server => ({
        server,
        used: estimate.findUtilization(server, nowMs),
      }));
      return one!.used <= other!.used ? one! : other!;
    };
    const own = pickOf(servers.filter(isIn(domain)));
    const isLate = own.used > threshold;
    return isLate
      ? pickOf(servers.filter(server => !isIn(domain)(server))).server
      : own.server;
  };
}

/**
 * Proportional: the share that leaves is what demand exceeds of the own capacity at an equal
 * utilization of all domains, by demands and capacities that were exchanged earlier.
 */
export function spillInProportion(
  servers: Servers,
  findShareThatStays: (domain: string, nowMs: number) => number,
): MakePick {
  return (estimate, domain, random) => nowMs => {
    const stays = random.nextFraction() < findShareThatStays(domain, nowMs);
    const from = servers.filter(server => isIn(domain)(server) === stays);
    const [one, other] = [0, 1].map(
      () => from[random.nextInt(0, from.length - 1)]!,
    );
    return estimate.findMs(one!, nowMs) <= estimate.findMs(other!, nowMs)
      ? one
      : other;
  };
}
