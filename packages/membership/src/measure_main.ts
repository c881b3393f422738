/**
 * Prints what membership costs a node, at several numbers of nodes, all run
 * in this process in simulated time. Bytes are those of the messages a node
 * sends, packed as the peer transport does; WebSocket frames, connections and
 * TCP come on top.
 */
import {cpuUsage} from 'node:process';
import {Packr} from 'msgpackr';
import {InMemoryNetwork} from './in_memory_network.js';
import {type MemberInfo} from './member.js';

const NODE_COUNTS = [8, 50, 150, 370];
const ADDRESSES_PER_BLOCK = 250;
const REGION_COUNT = 3;
const SEED_COUNT = 5;
/** Long enough for all that a common start makes nodes tell to be told. */
const WARM_UP_MS = 400_000;
const MEASURED_MS = 60_000;
const CUT_MS = 120_000;
const MAX_FIND_MS = 300_000;
const MS_PER_S = 1_000;
const MICROS_PER_S = 1_000_000;

/** Set as in the peer transport, which writes repeated field names once. */
const packr = new Packr();

/** What one number of nodes cost. */
interface Measurement {
  nodes: number;
  joinMs: number | null;
  messagesPerS: string;
  bytesPerS: string;
  /** Milliseconds of one core a node and second. */
  cpuMsPerS: string;
  /** Death of a node to `gone` at the first and at the last node. */
  firstGoneMs: number | null;
  allGoneMs: number | null;
  leavingMs: number | null;
  /** From the end of a cut between all regions until all is seen as before. */
  healMs: number | null;
  /** What a node sends each second of that time. */
  healBytesPerS: string;
}

/** What was sent while a stretch of simulated time ran. */
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

/** Cuts all regions off from each other and lets them find together. */
function heal(network: InMemoryNetwork): {
  healMs: number | null;
  healBytesPerS: string;
} {
  network.isLost = ({fromAddress, toAddress}) =>
    regionOf(fromAddress) !== regionOf(toAddress);
  network.run(CUT_MS);
  network.isLost = () => false;
  let healMs: number | null = null;
  const {byteCount} = runMeasured(network, () => {
    healMs = network.runUntil(() => network.isComplete(), MAX_FIND_MS);
  });
  const nodeSeconds =
    (network.listNodes().length * (healMs ?? MAX_FIND_MS)) / MS_PER_S;
  return {healMs, healBytesPerS: (byteCount / nodeSeconds).toFixed(0)};
}

function findDead(
  network: InMemoryNetwork,
): Pick<Measurement, 'firstGoneMs' | 'allGoneMs'> {
  const {nodeName} = network.get(addressOf(2)).self;
  network.kill(addressOf(2));
  const startMs = network.nowMs;
  const firstGoneMs = network.runUntil(
    () => network.isSeenBySome(nodeName, 'gone'),
    MAX_FIND_MS,
  );
  const restMs = network.runUntil(
    () => network.isSeenAs(nodeName, 'gone'),
    MAX_FIND_MS,
  );
  return {
    firstGoneMs,
    allGoneMs: restMs === null ? null : network.nowMs - startMs,
  };
}

function leave(network: InMemoryNetwork): number | null {
  const leaving = network.get(addressOf(1));
  network.post(addressOf(1), leaving.leave(network.nowMs));
  const leavingMs = network.runUntil(
    () => network.isSeenAs(leaving.self.nodeName, 'leaving'),
    MAX_FIND_MS,
  );
  network.kill(addressOf(1));
  network.run(MEASURED_MS);
  return leavingMs;
}

function measure(nodeCount: number): Measurement {
  const network = startNetwork(nodeCount);
  const joinMs = network.runUntil(() => network.isComplete(), WARM_UP_MS);
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
    leavingMs: leave(network),
    ...findDead(network),
    ...heal(network),
  };
}

console.table(NODE_COUNTS.map(measure));
