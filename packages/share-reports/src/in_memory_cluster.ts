import {EngineBoard, type SlotContent} from '@mimosatack/engine-board';
import {SeededRandom} from '@mimosatack/random';
import {type BackendServerId, type EngineState} from '@mimosatack/types';
import {type BackendServerClaim} from './backend_server_table.js';
import {type RingNode} from './exchange_ring.js';
import {type OutgoingReport, type ReportMessage} from './messages.js';
import {ReportSharing} from './report_sharing.js';

/** The resolution of simulated time. */
export const STEP_MS = 20;
const TICK_MS = 100;
const POLL_MS = 500;
const SLOT_COUNT = 20;
const START_WALL_MS = 1_750_000_000_000;
const DEFAULT_LATENCY_MS = 20;

/** A message in transit. */
export interface Envelope extends OutgoingReport {
  fromAddress: string;
  dueMs: number;
}

/** A node with its own view of the agreed state. */
export interface ClusterNode extends RingNode {
  board: EngineBoard;
  sharing: ReportSharing;
  /** The error of its wall clock. */
  skewMs: number;
  isFrozen: boolean;
  /** The rows that the node has applied; null if it has applied all. */
  laggingRows: readonly BackendServerClaim[] | null;
  appliedRows: readonly BackendServerClaim[] | null;
  /** The epochs of the claims that the node believes to hold. */
  heldEpochs: Map<BackendServerId, number>;
}

export interface ClusterSetup {
  nodeCount: number;
  backendServerCount: number;
  seed?: number;
  /** The error of a node's wall clock. */
  skewMs?: (index: number) => number;
}

/**
 * Simulates nodes and engines in one process for tests and measurements, with
 * deterministic message order and simulated time.
 */
export class InMemoryCluster {
  nowMs = 0;
  readonly nodes: ClusterNode[];
  readonly engines = new Map<BackendServerId, EngineState>();
  /** Whether a message is lost. */
  isLost: (envelope: Envelope) => boolean = () => false;
  /** The latency of a message. */
  findLatencyMs: (envelope: Envelope) => number = () => DEFAULT_LATENCY_MS;
  /** Converts a message as the transport does. */
  transfer: (message: ReportMessage) => ReportMessage = structuredClone;
  /** Called with every message that is sent, including lost ones. */
  onSend: (envelope: Envelope) => void = () => {};
  rows: BackendServerClaim[] = [];
  private inTransit: Envelope[] = [];
  private nextEpoch = 1;

  constructor({nodeCount, backendServerCount, seed = 1, skewMs}: ClusterSetup) {
    this.nodes = Array.from({length: nodeCount}, (_, index) =>
      createNode(index, seed, skewMs?.(index) ?? 0),
    );
    Array.from({length: backendServerCount}, (_, index) =>
      formatEngineId(index),
    ).forEach((id, index) => {
      this.engines.set(id, createEngine(id));
      this.claim(id, this.nodes[index % nodeCount]!);
    });
    this.nodes.forEach(node => node.sharing.setNodes(this.nodes));
  }

  /** Assigns an engine to a node under a new epoch. */
  claim(id: BackendServerId, node: ClusterNode): void {
    const epoch = this.nextEpoch++;
    this.rows = [
      ...this.rows.filter(row => row.backendServerId !== id),
      {backendServerId: id, epoch, holder: node.incarnation},
    ];
    node.heldEpochs.set(id, epoch);
  }

  /** Restarts a node with an empty board. */
  restart(node: ClusterNode): void {
    const index = this.nodes.indexOf(node);
    const fresh = createNode(index, this.nowMs + 1, node.skewMs);
    Object.assign(node, {board: fresh.board, sharing: fresh.sharing});
    node.heldEpochs.clear();
    node.appliedRows = null;
    node.sharing.setNodes(this.nodes);
  }

  setWarm(id: BackendServerId, slots: readonly number[]): void {
    const engine = this.engines.get(id)!;
    engine.replicas = slots.map(slot => createReplica(id, slot));
  }

  /** Delivers the messages that are due, then polls engines and ticks nodes. */
  step(): void {
    this.nowMs += STEP_MS;
    const due = this.inTransit.filter(
      each => each.dueMs <= this.nowMs && !this.find(each.toAddress).isFrozen,
    );
    const delivered = new Set(due);
    this.inTransit = this.inTransit.filter(each => !delivered.has(each));
    due.forEach(envelope => this.deliver(envelope));
    this.nodes
      .filter(node => !node.isFrozen)
      .forEach((node, index) => this.runNode(node, index));
  }

  run(durationMs: number): void {
    const stepCount = Math.ceil(durationMs / STEP_MS);
    Array.from({length: stepCount}).forEach(() => this.step());
  }

  /** Returns how long `condition` took to become true, or null on timeout. */
  runUntil(condition: () => boolean, timeoutMs: number): number | null {
    const startMs = this.nowMs;
    while (!condition() && this.nowMs - startMs < timeoutMs) this.step();
    return condition() ? this.nowMs - startMs : null;
  }

  /** Whether all boards show exactly the warm models of the engines. */
  isConverged(): boolean {
    return this.nodes.every(node =>
      [...this.engines.values()].every(engine =>
        showsWarmSlots(node, engine, this.listWarmSlots(engine)),
      ),
    );
  }

  deliver({fromAddress, toAddress, message}: Envelope): void {
    const node = this.find(toAddress);
    const copy = this.transfer(message);
    this.send(node, node.sharing.receive(fromAddress, copy, this.now(node)));
  }

  /** Schedules messages without loss or further latency. */
  schedule(envelopes: readonly Envelope[]): void {
    this.inTransit.push(...envelopes);
  }

  send(from: RingNode, messages: readonly OutgoingReport[]): void {
    messages.forEach(message => {
      const envelope = {
        ...message,
        fromAddress: from.peerAddress,
        dueMs: this.nowMs,
      };
      this.onSend(envelope);
      if (this.isLost(envelope)) return;
      envelope.dueMs += this.findLatencyMs(envelope);
      this.inTransit.push(envelope);
    });
  }

  private runNode(node: ClusterNode, index: number): void {
    const phaseMs = this.nowMs + index * STEP_MS;
    if (phaseMs % POLL_MS === 0) this.poll(node);
    if (phaseMs % TICK_MS !== 0) return;
    const rows = node.laggingRows ?? this.rows;
    if (rows !== node.appliedRows) {
      node.appliedRows = rows;
      node.sharing.setBackendServers(rows);
      node.board.reindexWarm();
    }
    this.send(node, node.sharing.tick(this.now(node)));
  }

  /** Polls the engines whose claims the node does not know to be lost. */
  private poll(node: ClusterNode): void {
    node.heldEpochs.forEach((epoch, id) => {
      const row = (node.laggingRows ?? this.rows).find(
        each => each.backendServerId === id,
      );
      const engine = this.engines.get(id);
      if (!engine || row?.epoch !== epoch) {
        node.heldEpochs.delete(id);
        return;
      }
      const report = {
        backendServerId: id,
        reportedAtMs: this.now(node).wallMs,
        engine: structuredClone(engine),
        load: {...engine.load},
        isReachable: true,
      };
      node.sharing.publish(report, {epoch, rank: 0}, this.nowMs);
    });
  }

  private listWarmSlots({replicas}: EngineState): number[] {
    return replicas.map(replica => Number(replica.model.split('-')[1]));
  }

  private find(address: string): ClusterNode {
    return this.nodes[Number(address.split(':')[1])]!;
  }

  private now(node: ClusterNode) {
    const wallMs = START_WALL_MS + this.nowMs + node.skewMs;
    return {monotonicMs: this.nowMs, wallMs};
  }
}

export function formatEngineId(index: number): BackendServerId {
  return `runner-${String(index).padStart(4, '0')}`;
}

function showsWarmSlots(
  {board}: ClusterNode,
  {backendServerId}: EngineState,
  warmSlots: readonly number[],
): boolean {
  const shown = Array.from({length: SLOT_COUNT}, (_, slot) => slot).filter(
    slot =>
      board
        .listWarm(`model-${slot}`, null)
        .some(replica => replica.backendServerId === backendServerId),
  );
  return shown.join() === warmSlots.toSorted((a, b) => a - b).join();
}

function createNode(index: number, seed: number, skewMs: number): ClusterNode {
  const nodeName = `entry-${index}`;
  const board = new EngineBoard({listContents});
  return {
    nodeName,
    incarnation: `${nodeName}.life`,
    peerAddress: `node:${index}`,
    board,
    sharing: new ReportSharing({
      nodeName,
      board,
      random: new SeededRandom(seed * 1_000 + index),
    }),
    skewMs,
    isFrozen: false,
    laggingRows: null,
    appliedRows: null,
    heldEpochs: new Map(),
  };
}

function createEngine(backendServerId: BackendServerId): EngineState {
  return {
    backendServerId,
    incarnation: 'first',
    fencing: 'refuses-old',
    highestFencingNumber: 0,
    accelerators: 8,
    memoryMib: 600_000,
    replicas: [],
    cached: [],
    load: {
      runningRequests: 0,
      queuedRequests: 0,
      maxRunningRequests: 32,
      tokensPerSecond: 0,
      ageMs: 0,
    },
  };
}

function createReplica(id: BackendServerId, slot: number) {
  return {
    slotId: `${id}/${slot}`,
    model: `model-${slot}`,
    adapter: null,
    version: '1',
    memoryMib: 1_000,
    status: 'warm' as const,
    loadMs: 1_000,
    activeRequests: 0,
  };
}

function listContents(id: BackendServerId): SlotContent[] {
  return Array.from({length: SLOT_COUNT}, (_, slot) => ({
    engineSlotId: `${id}/${slot}`,
    slotId: `${id}/${slot}`,
    model: `model-${slot}`,
    adapter: null,
  }));
}
