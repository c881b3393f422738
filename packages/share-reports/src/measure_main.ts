/**
 * Prints the cost of report sharing per node and the age of reports at several
 * cluster sizes, in simulated time. Bytes include the WebSocket header, but not
 * TCP and IP. CPU time includes packing, validation and the simulation.
 */
import {cpuUsage, memoryUsage} from 'node:process';
import {SeededRandom, pickOne} from '@mimosatack/random';
import {type EngineState} from '@mimosatack/types';
import {pack, unpack} from 'msgpackr';
import {
  type Envelope,
  InMemoryCluster,
  formatEngineId,
} from './in_memory_cluster.js';
import {type ReportMessage, reportMessageSchema} from './messages.js';

interface Size {
  nodes: number;
  runners: number;
}

const SIZES: readonly Size[] = [
  {nodes: 8, runners: 13},
  {nodes: 50, runners: 100},
  {nodes: 150, runners: 300},
  {nodes: 370, runners: 670},
];
const MS_PER_S = 1_000;
const FIRST_POLLS_MS = 600;
const WARM_UP_MS = 10_000;
const MEASURED_MS = 10_000;
const TIMEOUT_MS = 120_000;
const PARTITION_MS = 20_000;
const HEADER_BYTES = 8;
const REGION_COUNT = 3;
const SAME_REGION_MS = 1;
const OTHER_REGION_MS = 30;
const MAX_RUNNING = 40;
/**
 * 5.1 % of 7,060 models and adapters wake in an hour, each on two of 670
 * backend servers.
 */
const CHANGES_PER_BACKEND_SERVER_S = (0.051 * 7_060 * 2) / 3_600 / 670;
const SLOT_COUNT = 20;
/** The warm slots of each backend server. */
const WARM_COUNT = 4;

/** One update when a model wakes, one when it becomes idle. */
const UPDATES_PER_CHANGE = 2;

function findRegion(address: string): number {
  return Number(address.split(':')[1]) % REGION_COUNT;
}

function crossesRegions({fromAddress, toAddress}: Envelope): boolean {
  return findRegion(fromAddress) !== findRegion(toAddress);
}

function transfer(message: ReportMessage): ReportMessage {
  const wire = pack({body: {type: 'report', message}});
  const {body} = unpack(wire) as {body: {message: unknown}};
  return reportMessageSchema.parse(body.message);
}

function sizeOf(message: ReportMessage): number {
  return pack({body: {type: 'report', message}}).length + HEADER_BYTES;
}

/** Changes the load of every engine and the warm models of some engines. */
class Workload {
  private readonly random = new SeededRandom(7);

  constructor(private readonly cluster: InMemoryCluster) {}

  warmUp(): void {
    this.cluster.engines.forEach((_, id) =>
      this.cluster.setWarm(id, this.pickSlots()),
    );
  }

  /** Simulates one second. */
  step(): void {
    this.cluster.engines.forEach(engine => this.changeLoad(engine));
    const changes =
      this.cluster.engines.size *
      CHANGES_PER_BACKEND_SERVER_S *
      UPDATES_PER_CHANGE;
    if (this.random.nextFraction() < changes % 1) this.changeWarmSlots();
    Array.from({length: Math.floor(changes)}).forEach(() =>
      this.changeWarmSlots(),
    );
    this.cluster.run(MS_PER_S);
  }

  changeWarmSlots(): string {
    const id = pickOne(this.random, [...this.cluster.engines.keys()])!;
    this.cluster.setWarm(id, this.pickSlots());
    return id;
  }

  private pickSlots(): number[] {
    const slots = Array.from({length: WARM_COUNT}, () =>
      this.random.nextInt(0, SLOT_COUNT - 1),
    );
    return [...new Set(slots)];
  }

  private changeLoad({load}: EngineState): void {
    const running = load.runningRequests + this.random.nextInt(-6, 7);
    load.runningRequests = Math.min(MAX_RUNNING, Math.max(0, running));
    load.queuedRequests =
      load.runningRequests === MAX_RUNNING ? this.random.nextInt(0, 20) : 0;
  }
}

function percentile(values: readonly number[], fraction: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))
  ]!;
}

function listAges({nodes, nowMs}: InMemoryCluster): number[] {
  const wallMs = 1_750_000_000_000 + nowMs;
  return nodes.flatMap(({board}) =>
    board.list().map(report => wallMs - report.reportedAtMs),
  );
}

/** Counts the messages sent and their bytes by message type. */
class Counter {
  readonly bytes = new Map<string, number>();
  messageCount = 0;

  constructor(cluster: InMemoryCluster) {
    cluster.onSend = ({message}) => {
      const known = this.bytes.get(message.type) ?? 0;
      this.bytes.set(message.type, known + sizeOf(message));
      this.messageCount++;
    };
  }

  get total(): number {
    return [...this.bytes.values()].reduce((sum, bytes) => sum + bytes, 0);
  }
}

/** Gives every node all warm states, as after a long run. */
function shareAllStatuses({nodes, nowMs}: InMemoryCluster): void {
  const now = {monotonicMs: nowMs, wallMs: nowMs};
  nodes.forEach(from => {
    const [reply] = from.sharing.receive('', {type: 'status-request'}, now);
    nodes
      .filter(node => node !== from)
      .forEach(node =>
        node.sharing.receive(from.peerAddress, reply!.message, now),
      );
  });
}

function measureHealing(cluster: InMemoryCluster, workload: Workload) {
  cluster.isLost = crossesRegions;
  // About as many backend servers as change in an hour.
  Array.from({length: cluster.engines.size}, () => workload.changeWarmSlots());
  cluster.run(PARTITION_MS);
  cluster.isLost = () => false;
  const counter = new Counter(cluster);
  const startMs = cluster.nowMs;
  while (!cluster.isConverged() && cluster.nowMs - startMs < TIMEOUT_MS) {
    cluster.run(MS_PER_S);
  }
  const healMs = cluster.isConverged() ? cluster.nowMs - startMs : null;
  const seconds = (healMs ?? TIMEOUT_MS) / MS_PER_S;
  return {
    healMs,
    healBytesPerS: Math.round(counter.total / cluster.nodes.length / seconds),
  };
}

function measureJoin(cluster: InMemoryCluster) {
  const node = cluster.nodes[1]!;
  let joinBytes = 0;
  cluster.onSend = ({message}) => {
    if (message.type === 'statuses' && message.isWhole) {
      joinBytes += sizeOf(message);
    }
  };
  const heldIds = [...node.heldEpochs.keys()];
  cluster.restart(node);
  heldIds.forEach(id => cluster.claim(id, node));
  const isKnown = () => node.board.list().length === cluster.engines.size;
  const joinMs = cluster.runUntil(isKnown, TIMEOUT_MS);
  return {joinMs, joinBytes};
}

function measureChanges(cluster: InMemoryCluster): number[] {
  return Array.from({length: 5}, (_, index) => {
    const id = formatEngineId(index);
    const model = `model-${SLOT_COUNT - 1}`;
    cluster.setWarm(id, [SLOT_COUNT - 1]);
    const isWarm = () =>
      cluster.nodes.every(({board}) =>
        board.listWarm(model, null).some(each => each.backendServerId === id),
      );
    return cluster.runUntil(isWarm, TIMEOUT_MS) ?? TIMEOUT_MS;
  });
}

function measure({nodes, runners}: Size) {
  const heapBefore = memoryUsage().heapUsed;
  const cluster = new InMemoryCluster({
    nodeCount: nodes,
    backendServerCount: runners,
  });
  cluster.findLatencyMs = envelope =>
    crossesRegions(envelope) ? OTHER_REGION_MS : SAME_REGION_MS;
  const workload = new Workload(cluster);
  workload.warmUp();
  cluster.run(FIRST_POLLS_MS);
  shareAllStatuses(cluster);
  cluster.run(WARM_UP_MS);
  cluster.transfer = transfer;
  const counter = new Counter(cluster);
  const before = cpuUsage();
  const ages = Array.from({length: MEASURED_MS / MS_PER_S}, () => {
    workload.step();
    return listAges(cluster);
  }).flat();
  const {user, system} = cpuUsage(before);
  const nodeSeconds = (nodes * MEASURED_MS) / MS_PER_S;
  const perNode = (bytes = 0) => Math.round(bytes / nodeSeconds);
  globalThis.gc?.();
  const heapBytes = memoryUsage().heapUsed - heapBefore;
  const result = {
    nodes,
    runners,
    roundMs: cluster.nodes[0]!.sharing.roundMs,
    loadBytesPerS: perNode(counter.bytes.get('loads')),
    warmBytesPerS: perNode(counter.bytes.get('statuses')),
    digestBytesPerS: perNode(
      (counter.bytes.get('status-digests') ?? 0) +
        (counter.bytes.get('status-buckets') ?? 0),
    ),
    bytesPerS: perNode(counter.total),
    messagesPerS: (counter.messageCount / nodeSeconds).toFixed(1),
    cpuMsPerS: ((user + system) / MS_PER_S / nodeSeconds).toFixed(2),
    heapBytesPerRunner: Math.round(heapBytes / nodes / runners),
    ageP50Ms: percentile(ages, 0.5),
    ageP99Ms: percentile(ages, 0.99),
    ageMaxMs: percentile(ages, 1),
  };
  const changesMs = measureChanges(cluster);
  return {
    ...result,
    warmMs: Math.round(percentile(changesMs, 0.5)),
    warmMaxMs: Math.max(...changesMs),
    ...measureJoin(cluster),
    ...measureHealing(cluster, workload),
  };
}

// An argument chooses one size by its number of nodes.
const [, , chosen] = process.argv;
SIZES.filter(size => !chosen || size.nodes === Number(chosen)).forEach(size =>
  console.log(JSON.stringify(measure(size))),
);
