/**
 * Picks the server that would complete a request first. Compares few servers, so that
 * hosts which see the same loads do not all choose the same server.
 */
import {type RandomSource} from '@mimosatack/random';
import {type FailureDomain} from '@mimosatack/types';
import {
  type CompletionEstimate,
  type EstimatedServer,
} from './completion_estimate.js';

export interface CompletionRankingOptions {
  random: RandomSource;
  ownDomain: FailureDomain;
  /** Added to the estimate of a server in another failure domain. */
  crossDomainCostMs: number;
}

interface RatedServer<S> {
  server: S;
  costMs: number;
  isAvoided: boolean;
}

/**
 * A second random candidate bounds the longest queue, further ones help little. The best server
 * of the last choice is no candidate: each host would keep to a server of its own.
 */
const RANDOM_CANDIDATES = 2;
/**
 * Own servers that one in another domain has to be better than. With fewer, momentary
 * differences between servers make a domain with free servers send requests away.
 */
const OWN_COMPARED = 4;

export class CompletionRanking {
  constructor(
    private readonly estimate: CompletionEstimate,
    private readonly options: CompletionRankingOptions,
  ) {}

  /**
   * The best of two random servers of the own failure domain, unless a random one of the
   * others is better than several of the own ones.
   */
  pick<S extends EstimatedServer>(
    servers: readonly S[],
    nowMs: number,
  ): S | undefined {
    const {ownDomain} = this.options;
    const isOwn = ({failureDomain}: S) => failureDomain === ownDomain;
    const rateSome = (from: readonly S[], count: number) =>
      this.drawSome(from, count).map(server => this.rate(server, nowMs));
    const own = rateSome(servers.filter(isOwn), OWN_COMPARED);
    const other = findBest(
      rateSome(
        servers.filter(server => !isOwn(server)),
        RANDOM_CANDIDATES,
      ),
    );
    const bestOwn = findBest(own);
    const leaves = other && (!bestOwn || isBetter(other, bestOwn));
    return (leaves ? other : findBest(own.slice(0, RANDOM_CANDIDATES)))?.server;
  }

  /** Draws without repetition, in random order. */
  private drawSome<S>(servers: readonly S[], count: number): S[] {
    const left = [...servers];
    return Array.from({length: Math.min(count, left.length)}, () => {
      const at = this.options.random.nextInt(0, left.length - 1);
      return left.splice(at, 1);
    }).flat();
  }

  private rate<S extends EstimatedServer>(
    server: S,
    nowMs: number,
  ): RatedServer<S> {
    const {ownDomain, crossDomainCostMs} = this.options;
    const isSameDomain = server.failureDomain === ownDomain;
    return {
      server,
      costMs:
        this.estimate.findMs(server, nowMs) +
        (isSameDomain ? 0 : crossDomainCostMs),
      isAvoided: this.estimate.isAvoided(server, nowMs),
    };
  }
}

function isBetter<S>(one: RatedServer<S>, other: RatedServer<S>): boolean {
  return one.isAvoided === other.isAvoided
    ? one.costMs < other.costMs
    : other.isAvoided;
}

function findBest<S>(
  rated: readonly RatedServer<S>[],
): RatedServer<S> | undefined {
  return rated.reduce<RatedServer<S> | undefined>(
    (best, next) => (best && !isBetter(next, best) ? best : next),
    undefined,
  );
}
