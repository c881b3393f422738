/** Simulates a scenario with one policy and one seed. */
import {
  type Arrival,
  type KindName,
  type PlayResult,
  generateTraffic,
  playRequests,
} from '@mimosatack/bench-scheduling';
import {SeededRandom} from '@mimosatack/random';
import {type SwapPolicy} from '@mimosatack/schedule-models';
import {type Scenario} from './scenario.js';

/** Request counts of one kind. */
export interface KindOutcome {
  asked: number;
  onTime: number;
  late: number;
}

/** Result of one simulation run. */
export interface Outcome {
  seed: number;
  /** Worth of the served requests as a share of the worth of all requests. */
  worthShare: number;
  kinds: Readonly<Record<KindName, KindOutcome>>;
  refused: number;
  orders: number;
  storeLoads: number;
}

const KINDS: readonly KindName[] = ['chat', 'draft', 'tag'];

/** The same seed generates the same requests and faults for every policy. */
export function playScenario(
  scenario: Scenario,
  policy: SwapPolicy,
  seed: number,
): Outcome {
  const {deployment, traffic, faults} = scenario;
  const random = new SeededRandom(seed);
  const arrivals = generateTraffic(traffic, deployment, random);
  const result = playRequests({deployment, arrivals, policy, random, faults});
  const kinds = {
    chat: countKind('chat', arrivals, result),
    draft: countKind('draft', arrivals, result),
    tag: countKind('tag', arrivals, result),
  };
  return {
    ...{seed, kinds, worthShare: findWorthShare(scenario, kinds)},
    refused: result.refused,
    orders: result.orders,
    storeLoads: result.storeLoads.length,
  };
}

function countKind(
  kind: KindName,
  arrivals: readonly Arrival[],
  {ends}: PlayResult,
): KindOutcome {
  const asked = arrivals.filter(arrival => arrival.kind === kind);
  const countEnds = (end: 'onTime' | 'late') =>
    asked.filter(({request}) => ends.get(request.askId) === end).length;
  return {
    asked: asked.length,
    onTime: countEnds('onTime'),
    late: countEnds('late'),
  };
}

function findWorthShare({worths}: Scenario, kinds: Outcome['kinds']): number {
  const sumOverKinds = (worthOf: (kind: KindName) => number) =>
    KINDS.reduce((total, kind) => total + worthOf(kind), 0);
  const achievedWorth = sumOverKinds(
    kind =>
      kinds[kind].onTime * worths[kind].onTime +
      kinds[kind].late * worths[kind].late,
  );
  const maxWorth = sumOverKinds(
    kind => kinds[kind].asked * worths[kind].onTime,
  );
  return maxWorth === 0 ? 0 : achievedWorth / maxWorth;
}
