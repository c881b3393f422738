/** Converged clusters for the tests of this package. */
import * as assert from 'uvu/assert';
import {InMemoryNetwork} from './in_memory_network.js';
import {type MemberInfo} from './member.js';
import {type MembershipOptions} from './options.js';

export const MINUTE_MS = 60_000;
export const SEEDS = [addressOf(0), addressOf(1)];

export function addressOf(index: number): string {
  return `10.0.0.${index}:7000`;
}

export function nameOf(index: number): string {
  return `node-${index}`;
}

export function createInfo(index: number, change: Partial<MemberInfo> = {}) {
  return {
    nodeName: nameOf(index),
    incarnation: `process-${index}`,
    startedAtMs: 1_000_000 + index,
    peerAddress: addressOf(index),
    callerBaseUrl: `http://10.0.0.${index}:8000`,
    adminBaseUrl: `http://10.0.0.${index}:8001`,
    failureDomain: `domain-${index % 4}`,
    region: `region-${index % 2}`,
    release: '1.0.0',
    ...change,
  };
}

export interface NetworkSetup {
  nodeCount?: number;
  options?: Partial<MembershipOptions>;
  seed?: number;
}

/** Starts a cluster and runs it until it has converged. */
export function createNetwork({
  nodeCount = 8,
  options,
  seed,
}: NetworkSetup = {}): InMemoryNetwork {
  const network = new InMemoryNetwork(seed);
  Array.from({length: nodeCount}, (_, index) =>
    network.start({info: createInfo(index), seeds: SEEDS, options}),
  );
  const joinedMs = network.runUntil(() => network.isConverged(), MINUTE_MS);
  assert.is.not(joinedMs, null, 'the cluster converges');
  network.run(MINUTE_MS);
  return network;
}

/** Runs the network and sums the `gone` entries in all lists over all steps. */
export function countGone(
  network: InMemoryNetwork,
  durationMs: number,
): number {
  const endMs = network.nowMs + durationMs;
  let count = 0;
  while (network.nowMs < endMs) {
    network.step();
    count += network
      .listNodes()
      .flatMap(node => node.list())
      .filter(member => member.status === 'gone').length;
  }
  return count;
}
