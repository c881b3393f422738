/**
 * Prints what sharing reports costs a node and how late reports are, at
 * several sizes, all run in this process in simulated time. Bytes are those
 * of packed messages with their WebSocket header; TCP and IP come on top.
 * Processor time includes packing, checking and the simulation itself.
 */
import {cpuUsage, memoryUsage} from 'node:process';
import {SeededRandom, pickOne} from '@mimosatack/random';
import {type EngineState} from '@mimosatack/types';
import {pack, unpack} from 'msgpackr';
import {
  type Envelope,
  InMemoryCluster,
  nameOfEngine,
} from './in_memory_cluster.js';
import {type ReportMessage, reportMessageSchema} from './messages.js';

/** What is measured at one size. */
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
const LIMIT_MS = 120_000;
const CUT_MS = 20_000;
const HEADER_BYTES = 8;
const REGION_COUNT = 3;
const SAME_REGION_MS = 1;
const OTHER_REGION_MS = 30;
const MAX_RUNNING = 40;
/** 5.1 % of 7,060 models and adapters in an hour, each on two runners. */
const CHANGES_PER_RUNNER_S = (0.051 * 7_060 * 2) / 3_600 / 670;
const SLOT_COUNT = 20;
/** Slots that are warm on each runner. */
const WARM_COUNT = 4;

/** How often something is told of an engine that wakes or falls idle. */
const TELLINGS_PER_CHANGE = 2;

function regionOf(address: string): number {
  return Number(address.split(':')[1]) % REGION_COUNT;
}

function isAcross({fromAddress, toAddress}: Envelope): boolean {
  return regionOf(fromAddress) !== regionOf(toAddress);
}

function transfer(message: ReportMessage): ReportMessage {
  const wire = pack({body: {type: 'report', message}});
  const {body} = unpack(wire) as {body: {message: unknown}};
  return reportMessageSchema.parse(body.message);
}

function sizeOf(message: ReportMessage): number {
  return pack({body: {type: 'report', message}}).length + HEADER_BYTES;
}

/** Moves the load of every engine, and wakes some models. */
class Workload {
  private readonly random = new SeededRandom(7);

  constructor(private readonly cluster: InMemoryCluster) {}

  warmUp(): void {
    this.cluster.engines.forEach((_, id) =>
      this.cluster.setWarm(id, this.pickSlots()),
    );
  }

  /** One second of it. */
  step(): void {
    this.cluster.engines.forEach(engine => this.move(engine));
    const changes =
      this.cluster.engines.size * CHANGES_PER_RUNNER_S * TELLINGS_PER_CHANGE;
    if (this.random.nextFraction() < changes % 1) this.wake();
    Array.from({length: Math.floor(changes)}).forEach(() => this.wake());
    this.cluster.run(MS_PER_S);
  }

  wake(): string {
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

  private move({load}: EngineState): void {
    const running = load.runningRequests + this.random.nextInt(-6, 7);
    load.runningRequests = Math.min(MAX_RUNNING, Math.max(0, running));
    load.queuedRequests =
      load.runningRequests === MAX_RUNNING ? this.random.nextInt(0, 20) : 0;
  }
}

function percentile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * share))
  ]!;
}

function listAges({nodes, nowMs}: InMemoryCluster): number[] {
  const wallMs = 1_750_000_000_000 + nowMs;
  return nodes.flatMap(({board}) =>
    board.list().map(report => wallMs - report.reportedAtMs),
  );
}

/** What was sent, by type of message. */
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

/** Gives every node the whole picture, as if all had run for long. */
function shareAll({nodes, nowMs}: InMemoryCluster): void {
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
  cluster.isLost = isAcross;
  // About as many runners change as in an hour.
  Array.from({length: cluster.engines.size}, () => workload.wake());
  cluster.run(CUT_MS);
  cluster.isLost = () => false;
  const counter = new Counter(cluster);
  const startMs = cluster.nowMs;
  while (!cluster.isAgreed() && cluster.nowMs - startMs < LIMIT_MS) {
    cluster.run(MS_PER_S);
  }
  const healMs = cluster.isAgreed() ? cluster.nowMs - startMs : null;
  const seconds = (healMs ?? LIMIT_MS) / MS_PER_S;
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
  const held = [...node.held.keys()];
  cluster.restart(node);
  held.forEach(id => cluster.claim(id, node));
  const isKnown = () => node.board.list().length === cluster.engines.size;
  const joinMs = cluster.runUntil(isKnown, LIMIT_MS);
  return {joinMs, joinBytes};
}

function measureChanges(cluster: InMemoryCluster): number[] {
  return Array.from({length: 5}, (_, place) => {
    const id = nameOfEngine(place);
    const model = `model-${SLOT_COUNT - 1}`;
    cluster.setWarm(id, [SLOT_COUNT - 1]);
    const isWarm = () =>
      cluster.nodes.every(({board}) =>
        board.listWarm(model, null).some(each => each.backendServerId === id),
      );
    return cluster.runUntil(isWarm, LIMIT_MS) ?? LIMIT_MS;
  });
}

function measure({nodes, runners}: Size) {
  const heapBefore = memoryUsage().heapUsed;
  const cluster = new InMemoryCluster({nodeCount: nodes, runnerCount: runners});
  cluster.findDelayMs = envelope =>
    isAcross(envelope) ? OTHER_REGION_MS : SAME_REGION_MS;
  const workload = new Workload(cluster);
  workload.warmUp();
  cluster.run(FIRST_POLLS_MS);
  shareAll(cluster);
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
