/**
 * Measures the cost of membership per node at several cluster sizes, in
 * simulated time. Bytes cover messages packed as by the peer transport, without
 * the overhead of WebSocket frames and TCP.
 */
import {cpuUsage} from 'node:process';
import {Packr} from 'msgpackr';
import {InMemoryNetwork} from './in_memory_network.js';
import {type MemberInfo} from './member.js';

const NODE_COUNTS = [8, 50, 150, 370];
const ADDRESSES_PER_BLOCK = 250;
const REGION_COUNT = 3;
const SEED_COUNT = 5;
/** Lets the updates queued by the simultaneous start drain. */
const WARM_UP_MS = 400_000;
const MEASURED_MS = 60_000;
const PARTITION_MS = 120_000;
const MAX_WAIT_MS = 300_000;
const MS_PER_S = 1_000;
const MICROS_PER_S = 1_000_000;

/** Configured as in the peer transport. */
const packr = new Packr();

interface Measurement {
  nodes: number;
  joinMs: number | null;
  messagesPerS: string;
  bytesPerS: string;
  /** CPU milliseconds per node and second. */
  cpuMsPerS: string;
  /** Time from a crash until the first and the last node list it as gone. */
  firstGoneMs: number | null;
  allGoneMs: number | null;
  leavingMs: number | null;
  /** Time from the end of a partition of all regions until convergence. */
  healMs: number | null;
  /** Bytes sent per node and second during `healMs`. */
  healBytesPerS: string;
}

/** Messages, bytes and CPU time of a simulated interval. */
interface Cost {
  messageCount: number;
  byteCount: number;
  cpuMicros: number;
}

function createInfo(index: number): MemberInfo {
  return {
    nodeName: `entry-${index}`,
    incarnation: `0f8fad5b-d9cb-469f-a165-${index}`,
    startedAtMs: 1_750_000_000_000 + index,
    peerAddress: addressOf(index),
    callerBaseUrl: `http://${addressOf(index)}`,
    adminBaseUrl: `http://${addressOf(index)}`,
    failureDomain: `domain-${index % 7}`,
    region: `region-${regionOf(addressOf(index))}`,
    release: '1.0.0',
  };
}

function addressOf(index: number): string {
  return `10.0.${Math.floor(index / ADDRESSES_PER_BLOCK)}.${index % ADDRESSES_PER_BLOCK}:7000`;
}

function regionOf(address: string): number {
  const [, , high, low] = /(\d+)\.(\d+)\.(\d+)\.(\d+)/.exec(address)!.slice(1);
  return (Number(high) * ADDRESSES_PER_BLOCK + Number(low)) % REGION_COUNT;
}

function startNetwork(nodeCount: number): InMemoryNetwork {
  const network = new InMemoryNetwork();
  const indexes = Array.from({length: nodeCount}, (_, index) => index);
  const seeds = indexes.slice(0, SEED_COUNT).map(addressOf);
  indexes.forEach(index => network.start({info: createInfo(index), seeds}));
  return network;
}

function runMeasured(network: InMemoryNetwork, run: () => void): Cost {
  const cost: Cost = {messageCount: 0, byteCount: 0, cpuMicros: 0};
  network.onSend = ({message}) => {
    cost.messageCount++;
    cost.byteCount += packr.pack({body: message}).length;
  };
  const before = cpuUsage();
  run();
  const {user, system} = cpuUsage(before);
  network.onSend = () => {};
  return {...cost, cpuMicros: user + system};
}

/** Partitions all regions, then measures how they reconnect. */
function measureHealing(network: InMemoryNetwork): {
  healMs: number | null;
  healBytesPerS: string;
} {
  network.isLost = ({fromAddress, toAddress}) =>
    regionOf(fromAddress) !== regionOf(toAddress);
  network.run(PARTITION_MS);
  network.isLost = () => false;
  let healMs: number | null = null;
  const {byteCount} = runMeasured(network, () => {
    healMs = network.runUntil(() => network.isConverged(), MAX_WAIT_MS);
  });
  const nodeSeconds =
    (network.listNodes().length * (healMs ?? MAX_WAIT_MS)) / MS_PER_S;
  return {healMs, healBytesPerS: (byteCount / nodeSeconds).toFixed(0)};
}

function measureDetection(
  network: InMemoryNetwork,
): Pick<Measurement, 'firstGoneMs' | 'allGoneMs'> {
  const {nodeName} = network.get(addressOf(2)).self;
  network.kill(addressOf(2));
  const startMs = network.nowMs;
  const firstGoneMs = network.runUntil(
    () => network.isSeenByAny(nodeName, 'gone'),
    MAX_WAIT_MS,
  );
  const restMs = network.runUntil(
    () => network.isSeenAs(nodeName, 'gone'),
    MAX_WAIT_MS,
  );
  return {
    firstGoneMs,
    allGoneMs: restMs === null ? null : network.nowMs - startMs,
  };
}

function measureLeave(network: InMemoryNetwork): number | null {
  const leaving = network.get(addressOf(1));
  network.post(addressOf(1), leaving.leave(network.nowMs));
  const leavingMs = network.runUntil(
    () => network.isSeenAs(leaving.self.nodeName, 'leaving'),
    MAX_WAIT_MS,
  );
  network.kill(addressOf(1));
  network.run(MEASURED_MS);
  return leavingMs;
}

function measure(nodeCount: number): Measurement {
  const network = startNetwork(nodeCount);
  const joinMs = network.runUntil(() => network.isConverged(), WARM_UP_MS);
  network.run(WARM_UP_MS);
  const cost = runMeasured(network, () => network.run(MEASURED_MS));
  const nodeSeconds = (nodeCount * MEASURED_MS) / MS_PER_S;
  const cpuMs = (cost.cpuMicros / MICROS_PER_S) * MS_PER_S;
  return {
    nodes: nodeCount,
    joinMs,
    messagesPerS: (cost.messageCount / nodeSeconds).toFixed(2),
    bytesPerS: (cost.byteCount / nodeSeconds).toFixed(0),
    cpuMsPerS: (cpuMs / nodeSeconds).toFixed(3),
    leavingMs: measureLeave(network),
    ...measureDetection(network),
    ...measureHealing(network),
  };
}

console.table(NODE_COUNTS.map(measure));
